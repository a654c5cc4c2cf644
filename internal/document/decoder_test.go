package document_test

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/internal/document"
	"lavenderdeal/schema/lists"
	"lavenderdeal/schema/objects"
	"lavenderdeal/schema/settings"
)

const manyCustomers = 100_000

const goodSettings = `zone: catania
service: availability
server: {address: 127.0.0.1:8101, slots: 18}
listen: {caller: 127.0.0.1:7101, peer: 127.0.0.1:7102, call: 127.0.0.1:7103, operator: 127.0.0.1:7104}
platform: {address: 127.0.0.1:7000}
peerKey: peer-key-of-the-test
`

var (
	settingsDecoder  = document.MustNew[settings.Settings](settings.Schema, "")
	customersDecoder = document.MustNew[lists.CustomerList](lists.CustomersSchema, "")
	plansDecoder     = document.MustNew[lists.PlanList](lists.PlansSchema, "")
	headDecoder      = document.MustNew[objects.Head](objects.Schema, "Head")
)

// TestBadSettings guards against settings that are accepted although they are invalid
// or ambiguous, and against faults without the line or the field to mend.
func TestBadSettings(t *testing.T) {
	for _, tt := range []struct{ name, text, want string }{
		{"empty", " \n", "the document is empty"},
		{"two documents", goodSettings + "---\n" + goodSettings, "line 7: more than one document"},
		{"second document broken", goodSettings + "---\n{", "more than one document"},
		{"field twice", goodSettings + "zone: palermo\n", "line 7: zone: the field is given twice"},
		{"nested field twice", strings.Replace(goodSettings, "slots: 18", "slots: 18, slots: 19", 1), "line 3: server.slots: the field is given twice"},
		{"JSON field twice", `{"zone": "a", "server": {"slots": 1, "slots": 2}}`, "server.slots: the field is given twice"},
		{"unknown field", goodSettings + "colour: red\n", "line 7: colour: unknown field"},
		{"field is not a string", goodSettings + "1: red\n", "line 7: [1]: names of fields must be strings"},
		{"alias", goodSettings + "region: &a r\nlogLevel: *a\n", "line 8: logLevel: aliases are not supported"},
		{"duration without a unit", goodSettings + "drain: {finish: '60'}\n", "line 7: drain.finish: duration \"60\": want a number with a unit"},
		{"duration as a number", goodSettings + "drain: {finish: 60}\n", "line 7: drain.finish: got number, want string"},
		{"negative duration", goodSettings + "drain: {finish: -3s}\n", "line 7: drain.finish: duration \"-3s\": want 0s to 24h0m0s"},
		{"duration too long", goodSettings + "drain: {finish: 10000h}\n", "want 0s to 24h0m0s"},
		{"address without a port", strings.Replace(goodSettings, ":8101", "", 1), "line 3: server.address: \"127.0.0.1\": want an IP address and a port"},
		{"host name", strings.Replace(goodSettings, "127.0.0.1:8101", "localhost:8101", 1), "server.address"},
		{"missing", "zone: catania\n", "missing properties"},
		{"not finite", strings.Replace(goodSettings, "18", ".inf", 1), "line 3: server.slots: not a finite number"},
		{"tag", strings.Replace(goodSettings, "18", "!!binary MTg=", 1), "server.slots: the tag !!binary"},
		{"not YAML", "zone: [", "did not find"},
		{"list", "- zone\n", "got array, want object"},
		{"null", "null\n", "got null, want object"},
		{"deep", strings.Repeat("[", 100_000), "exceeded max depth"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := settingsDecoder.Decode([]byte(tt.text))
			assertFault(t, err, tt.want)
		})
	}
}

// TestBadLists guards against faults that are missing from the error of an invalid
// list or head, and against a secret in the error text: a customer's key given in
// place of its hash.
func TestBadLists(t *testing.T) {
	t.Run("all faults are reported", func(t *testing.T) {
		_, err := plansDecoder.Decode([]byte("services:\n  - name: Tours\n    timeout: 3\nplans:\n  - name: crew\n    uses:\n      - {service: tours, priority: highest, callsPerSecond: -1}\n"))
		for _, want := range []string{
			"line 2: services[0].name", "line 3: services[0].timeout: got number, want string",
			"line 7: plans[0].uses[0].callsPerSecond", "line 7: plans[0].uses[0].priority",
		} {
			assertFault(t, err, want)
		}
	})
	t.Run("key in place of its hash", func(t *testing.T) {
		_, err := customersDecoder.Decode([]byte("customers:\n  - {name: a, plan: b, keyHashes: [the-key-in-clear]}\n"))
		assertFault(t, err, "line 2: customers[0].keyHashes[0]: does not match the pattern")
		if err != nil && strings.Contains(err.Error(), "the-key-in-clear") {
			t.Errorf("the error contains the key: %v", err)
		}
	})
	t.Run("very many faults", func(t *testing.T) {
		_, err := customersDecoder.Decode([]byte("customers:\n" + strings.Repeat("  - {}\n", 1000)))
		var faults document.Faults
		if !errors.As(err, &faults) || len(faults) != 1000 {
			t.Fatalf("%d faults, want 1000", len(faults))
		}
		assertFault(t, err, "and 900 more faults")
	})
	t.Run("head of another format", func(t *testing.T) {
		_, err := headDecoder.Decode([]byte(`{"version": 0, "operation": "a/b", "customerChunks": ["x"], "planChunks": [], "author": "a", "changedAt": "today", "chunks": []}`))
		for _, want := range []string{"version: minimum", "operation: does not match", "customerChunks[0]", "changedAt", "chunks: unknown field"} {
			assertFault(t, err, want)
		}
	})
}

// TestDates guards against a change of names that look like dates: YAML parses them as
// timestamps.
func TestDates(t *testing.T) {
	list, err := customersDecoder.Decode([]byte("customers:\n  - {name: 2026-12-04, plan: crew, keyHashes: [" + keyHash(1) + "]}\n"))
	if err != nil || list.Customers[0].Name != "2026-12-04" {
		t.Errorf("customers %v, error %v; want the name as written", list.Customers, err)
	}
}

// TestDecodeAtOnce guards against concurrent decoding that changes the shared schema,
// such as the defaults in it. The race detector finds that.
func TestDecodeAtOnce(t *testing.T) {
	var group errgroup.Group
	for range 8 {
		group.Go(func() error {
			_, err := settingsDecoder.Decode([]byte(goodSettings))
			return err
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

func FuzzSettings(f *testing.F) {
	fuzz(f, settingsDecoder, goodSettings, "zone: [", "{}", "a: &a [*a]", "---\n---\n", "? {a: b}\n: c", `{"zone":"a","zone":"b"}`)
}

func FuzzCustomers(f *testing.F) {
	fuzz(f, customersDecoder, "customers: []", `{"customers":[{"name":"a","plan":"b","keyHashes":[]}]}`, "customers: !!set {a}", "customers: [.nan, 0x1, 1e999]")
}

func FuzzPlans(f *testing.F) {
	fuzz(f, plansDecoder, "services: []\nplans: []", `{"services":[{"name":"a","timeout":"1s"}],"plans":[{"name":"p","uses":[{"service":"a","priority":"bulk"}]}]}`)
}

func FuzzHead(f *testing.F) {
	fuzz(f, headDecoder, `{"version":1,"operation":"o","customerChunks":[],"planChunks":[],"author":"a","changedAt":"2026-12-04T10:00:00Z"}`, `{"version":1e400}`, `{"version":-1}`)
}

// fuzz checks that a decoded value is encoded and decoded to the same value, and
// that all errors are of type document.Faults.
func fuzz[T any](f *testing.F, decoder *document.Decoder[T], seeds ...string) {
	for _, seed := range seeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		value, err := decoder.Decode(data)
		if err != nil {
			var faults document.Faults
			if !errors.As(err, &faults) || len(faults) == 0 {
				t.Fatalf("error %T %v, want document.Faults", err, err)
			}
			return
		}
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		again, err := decoder.Decode(text)
		if err != nil {
			t.Fatalf("decode the encoded value %s: %v", text, err)
		}
		if !reflect.DeepEqual(value, again) {
			t.Fatalf("%+v was decoded again to %+v", value, again)
		}
	})
}

func assertFault(t *testing.T, err error, want string) {
	t.Helper()
	var faults document.Faults
	if !errors.As(err, &faults) || !strings.Contains(err.Error(), want) {
		t.Errorf("error %v, want faults with %q", err, want)
	}
}

func manyCustomersJSON(b *testing.B) []byte {
	b.Helper()
	list := lists.CustomerList{}
	for i := range manyCustomers {
		list.Customers = append(list.Customers, lists.Customer{
			Name: fmt.Sprintf("customer-%06d", i), Plan: "basic", KeyHashes: []string{keyHash(i)},
		})
	}
	data, err := json.Marshal(list)
	if err != nil {
		b.Fatal(err)
	}
	return data
}

func keyHash(i int) string {
	return fmt.Sprintf("%x", sha256.Sum256([]byte{byte(i), byte(i >> 8), byte(i >> 16)}))
}

func manyCustomersYAML() []byte {
	data := []byte("customers:\n")
	for i := range manyCustomers {
		data = fmt.Appendf(data, "  - name: customer-%06d\n    plan: basic\n    keyHashes: [%s]\n", i, keyHash(i))
	}
	return data
}

func BenchmarkDecode100000Customers(b *testing.B) {
	decoder := document.MustNew[lists.CustomerList](lists.CustomersSchema, "")
	for _, bb := range []struct {
		name string
		data []byte
	}{{"JSON", manyCustomersJSON(b)}, {"YAML", manyCustomersYAML()}} {
		b.Run(bb.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				list, err := decoder.Decode(bb.data)
				if err != nil || len(list.Customers) != manyCustomers {
					b.Fatalf("%d customers, error %v", len(list.Customers), err)
				}
			}
		})
	}
}
