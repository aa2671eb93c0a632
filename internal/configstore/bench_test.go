package configstore

import (
	"fmt"
	"testing"

	"cyclamenstream/api/config"
)

// benchDocument has the given number of services and a full history.
func benchDocument(services int) *config.Document {
	d := &config.Document{Profiles: map[string]config.Profile{"gate": {}}, Services: map[string]config.Service{},
		ZonesOut: map[string]uint64{}, VMsOut: map[string]uint64{}, Lifted: map[string]uint64{},
		ItemVersions: map[string]uint64{"profile/gate": 1}}
	for i := range services {
		name := fmt.Sprint("service-", i)
		d.Services[name] = config.Service{Profile: "gate", Slots: 3, ColdSlots: 1, Connections: 30}
		d.ItemVersions["service/"+name] = uint64(i + 2)
	}
	for i := range config.MaxHistory {
		d.Version = uint64(services + i)
		d.History = append(d.History, config.ChangeRecord{ID: fmt.Sprintf("%026d", i), Version: d.Version, Item: "service/service-0"})
	}
	return d
}

// BenchmarkDocument measures the encoding, decoding and change of a document, and reports its size.
func BenchmarkDocument(b *testing.B) {
	for _, items := range []int{100, 1000, 4000} {
		doc := benchDocument(items)
		value, err := Encode(doc)
		if err != nil {
			b.Fatal(err)
		}
		run := func(name string, f func() error) {
			b.Run(fmt.Sprintf("items=%d/%s", items, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if err := f(); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(value)), "document-B")
			})
		}
		run("encode", func() error { _, err := Encode(doc); return err })
		run("decode", func() error { _, err := Decode(value); return err })
		change := config.Change{ID: "c", Op: config.OpPutService, Name: "service-0",
			Service: &config.Service{Profile: "gate", Slots: 2, ColdSlots: 1, Connections: 30}}
		run("apply", func() error { _, err := Apply(doc, change, nil); return err })
	}
}
