package routes_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lavenderdeal/core/routes"
)

func route(name, host, prefix string) routes.Route {
	return routes.Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Services: []routes.WeightedService{{Service: "depot", Weight: 1}}}
}

func table(t testing.TB, list ...routes.Route) *routes.Table {
	t.Helper()
	table, err := routes.New(1, list, []routes.Service{{Name: "depot"}}, routes.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func ExampleTable_Match() {
	list := []routes.Route{route("all", "depot.example", "/"), route("stock", "depot.example", "/stock/")}
	t, err := routes.New(1, list, []routes.Service{{Name: "depot"}}, routes.Limits{})
	if err != nil {
		panic(err)
	}
	r, _ := t.Match("Depot.example:8080", "/stock/cones/7")
	fmt.Println(r.Name)
	// Output: stock
}

func assertMatch(t *testing.T, table *routes.Table, host, path, want string) {
	t.Helper()
	got := ""
	if r, ok := table.Match(host, path); ok {
		got = r.Name
	}
	if got != want {
		t.Errorf("%s%s goes to %q, want %q", host, path, got, want)
	}
}

// TestMatch checks prefixes that overlap, and that a prefix matches whole segments only.
func TestMatch(t *testing.T) {
	m := table(t, route("a", "h.example", "/a/"), route("ab", "h.example", "/a/b/"))
	for path, want := range map[string]string{
		"/a/x": "a", "/a/b/x": "ab", "/a/b": "a", "/a/": "a", "/a": "", "/b/": "", "": "", "/a%2Fb/x": "",
	} {
		t.Run(path, func(t *testing.T) { assertMatch(t, m, "h.example", path, want) })
	}
	t.Run("another host", func(t *testing.T) { assertMatch(t, m, "other.example", "/a/x", "") })
}

// TestLongestPrefix compares Match with a linear search for the longest prefix.
func TestLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"a", "b", "c", "%2F"})
		paths := rapid.SliceOfNDistinct(rapid.SliceOfN(segment, 0, 3), 1, 8, func(s []string) string { return strings.Join(s, "/") }).Draw(t, "prefixes")
		var list []routes.Route
		for i, segments := range paths {
			prefix := "/"
			if len(segments) > 0 {
				prefix += strings.Join(segments, "/") + "/"
			}
			list = append(list, route(fmt.Sprint(i), "h", prefix))
		}
		m, err := routes.New(1, list, []routes.Service{{Name: "depot"}}, routes.Limits{})
		if err != nil {
			t.Fatal(err)
		}
		path := "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, "path"), "/")
		want, length := "", 0
		for _, r := range list {
			if strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > length {
				want, length = r.Name, len(r.Prefix)
			}
		}
		got := ""
		if r, ok := m.Match("h", path); ok {
			got = r.Name
		}
		if got != want {
			t.Fatalf("%s goes to %q, want %q", path, got, want)
		}
	})
}

// TestFaults checks that each kind of invalid route is refused.
func TestFaults(t *testing.T) {
	for name, change := range map[string]func(*routes.Route){
		"no host":         func(r *routes.Route) { r.Host = "" },
		"prefix":          func(r *routes.Route) { r.Prefix = "/a" },
		"no time":         func(r *routes.Route) { r.Timeout = 0 },
		"negative rank":   func(r *routes.Route) { r.Rank = -1 },
		"no service":      func(r *routes.Route) { r.Services = nil },
		"unknown service": func(r *routes.Route) { r.Services[0].Service = "ghost" },
		"negative weight": func(r *routes.Route) { r.Services[0].Weight = -1 },
		"no weight":       func(r *routes.Route) { r.Services[0].Weight = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			r := route("x", "h", "/x/")
			change(&r)
			if _, err := routes.New(1, []routes.Route{r}, []routes.Service{{Name: "depot"}}, routes.Limits{}); err == nil {
				t.Fatal("the invalid route was accepted")
			}
		})
	}
	t.Run("same host and prefix twice", func(t *testing.T) {
		list := []routes.Route{route("x", "h", "/x/"), route("y", "H", "/x/")}
		if _, err := routes.New(1, list, []routes.Service{{Name: "depot"}}, routes.Limits{}); err == nil {
			t.Fatal("two routes with the same host and prefix were accepted")
		}
	})
}
