// Package runcalls estimates how many calls a server makes to other services when it runs a
// request of a class:
//
//	var e runcalls.Estimate
//	e.Observe("order", map[string]int{"stock": 2})
//	e.Expected("order") // 2 calls to stock
package runcalls

const (
	// smoothing is the weight of the newest run.
	smoothing = 0.05
	// maxEntries bounds the classes, and the services of each.
	maxEntries = 1024
	// negligible is the number of calls below which a service is forgotten.
	negligible = 0.001
)

// Estimate holds the average calls of a run by class and service. The zero value is empty
// and ready to use. It is not safe for concurrent use.
type Estimate struct {
	classes map[string]map[string]float64
}

// Observe adds a run with its calls by service.
func (e *Estimate) Observe(class string, calls map[string]int) {
	average, ok := e.classes[class]
	if !ok {
		if len(calls) == 0 || len(e.classes) >= maxEntries {
			return
		}
		if e.classes == nil {
			e.classes = make(map[string]map[string]float64)
		}
		average = make(map[string]float64, len(calls))
		for service, n := range calls {
			average[service] = float64(n)
		}
		e.classes[class] = average
		return
	}
	for service := range calls {
		if _, ok := average[service]; !ok && len(average) < maxEntries {
			average[service] = 0
		}
	}
	for service := range average {
		average[service] += smoothing * (float64(calls[service]) - average[service])
		if average[service] < negligible {
			delete(average, service)
		}
	}
	if len(average) == 0 {
		delete(e.classes, class)
	}
}

// Expected returns the average calls of a run by service, or nil if none are known. The
// caller must not change it.
func (e *Estimate) Expected(class string) map[string]float64 { return e.classes[class] }
