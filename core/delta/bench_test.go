package delta_test

import (
	"fmt"
	"strings"
	"testing"

	"lavenderdeal/core/delta"
)

// configuration returns a document with a version and rows, as the nodes receive it.
func configuration(version, rows int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":"%08x","routes":{"columns":["name","host","path_prefix","kind"],"rows":[`, version)
	for i := range rows {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `["r-%d","host%d.example","/p%d/","safe",%d,500,0,"s1",2,null,"some more columns of a row of usual length"]`, i, i%5, i, 1000+i)
	}
	b.WriteString(`]},"services":{"columns":["name","health_path","max_connections"],"rows":[["s1","/health",130]]}}`)
	return []byte(b.String())
}

// BenchmarkAdd adds a version of a large configuration with one changed row, and one that
// makes the configuration large.
func BenchmarkAdd(b *testing.B) {
	for _, c := range []struct {
		name         string
		before, more int
	}{{"one row", 2500, 1}, {"many rows", 1100, 1400}} {
		b.Run(c.name, func(b *testing.B) {
			before, after := configuration(1, c.before), configuration(2, c.before+c.more)
			b.ReportAllocs()
			for range b.N {
				var h delta.History
				h.Add(nil, before)
				h.Add(before, after)
			}
		})
	}
}

// BenchmarkApply applies a delta with one changed row.
func BenchmarkApply(b *testing.B) {
	before, after := configuration(1, 2500), configuration(2, 2501)
	d := delta.Between(before, after)
	for range b.N {
		if _, err := delta.Apply(before, d); err != nil {
			b.Fatal(err)
		}
	}
}
