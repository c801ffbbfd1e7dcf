package record_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/record"
)

func envelope(schema, kind, spec string) string {
	return fmt.Sprintf(`{"schema":%q,"kind":%q,"name":"x","spec":%s}`, schema, kind, spec)
}

// Guards against a record that is accepted although a field is unknown, missing
// or out of range, and against an error that does not name the field.
func TestParseErrorNamesField(t *testing.T) {
	const v1, v2 = record.SchemaV1, record.SchemaV2
	sum := strings.Repeat("ab", 32)
	table := []struct{ body, field string }{
		{envelope("rosemarywing/v9", "Tier", `{}`), "schema"},
		{envelope(v2, "Region", `{}`), "kind"},
		{`{"schema":"rosemarywing/v2","kind":"Tier","name":"a/b","spec":{}}`, "name"},
		{`{"schema":"rosemarywing/v2","kind":"Tier","name":"x","labels":{}}`, "labels"},
		{envelope(v2, "Tier", `{"priority":1,"deadlineMs":0}`), "spec.deadlineMs"},
		{envelope(v2, "Tier", `{"priority":1,"deadlineMs":1,"burst":3}`), "burst"},
		{envelope(v2, "Tier", `{"priority":"high"}`), "priority"},
		{envelope(v2, "Team", `{"keySHA256":["abc"],"weight":1,"defaultTier":"a","highestTier":"a"}`), "keySHA256[0]"},
		{envelope(v2, "Team", `{"keySHA256":["`+sum+`"],"weight":0,"defaultTier":"a","highestTier":"a"}`), "weight"},
		{envelope(v2, "Model", `{"versions":[]}`), "versions"},
		{envelope(v2, "Upstream", `{"type":"engine","address":"h","domain":"d","models":["m@1"],"maxRequests":1}`), "address"},
		{envelope(v2, "Upstream", `{"type":"engine","address":"h:1","domain":"d","models":["m"],"maxRequests":1}`), "models[0]"},
		{envelope(v2, "Upstream", `{"type":"service","address":"h:1","domain":"d","maxRequests":1}`), "service"},
		{envelope(v2, "Upstream", `{"address":"h:1","domain":"d","model":"m@1","limit":1}`), "model"},
		{envelope(v1, "Upstream", `{"address":"h:1","domain":"d","model":"m@1","maxRequests":1}`), "maxRequests"},
		{envelope(v1, "Upstream", `{"address":"h:1","domain":"d","model":"m@1"}`), "spec.limit"},
		{envelope(v1, "Upstream", `{"address":"h:1","domain":"d","model":"m","limit":1}`), "spec.model"},
		{envelope(v2, "Withdrawal", `{"reason":"none"}`), "batch"},
	}
	for _, row := range table {
		t.Run(row.field, func(t *testing.T) {
			g := NewWithT(t)
			_, _, err := record.Parse([]byte(row.body))
			g.Expect(err).To(HaveOccurred())
			g.Expect(errkind.KindOf(err)).To(Equal(errkind.InvalidRecord))
			g.Expect(err.Error()).To(ContainSubstring(row.field))
		})
	}
}

// Guards against a record of SchemaV1 whose meaning changes in the conversion.
func TestConversionFromSchemaV1(t *testing.T) {
	g := NewWithT(t)
	_, old, err := record.Parse([]byte(envelope(record.SchemaV1, "Upstream",
		`{"address":"h:1","domain":"d","model":"m@1","limit":8,"batch":"b","checksFencing":true,"echoesRequestID":true}`)))
	g.Expect(err).NotTo(HaveOccurred())
	_, current, err := record.Parse([]byte(envelope(record.SchemaV2, "Upstream",
		`{"type":"engine","address":"h:1","domain":"d","models":["m@1"],"maxRequests":8,"batch":"b","checksFencing":true,"echoesRequestID":true}`)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(old).To(Equal(current))
}

// Guards against a record that refers to a record that does not exist, and
// against a default tier above the highest tier.
func TestCheckReferences(t *testing.T) {
	set := record.Set{
		Tiers: map[string]*record.Tier{
			"low": {Name: "low", Priority: 1}, "high": {Name: "high", Priority: 2},
		},
		Models:    map[string]*record.Model{"m": {Name: "m", Versions: []string{"1"}}},
		Upstreams: map[string]*record.Upstream{"u": {Name: "u"}},
	}
	table := []struct {
		record record.Record
		field  string
	}{
		{&record.Team{DefaultTier: "low", HighestTier: "high"}, ""},
		{&record.Team{DefaultTier: "none", HighestTier: "high"}, "defaultTier"},
		{&record.Team{DefaultTier: "low", HighestTier: "none"}, "highestTier"},
		{&record.Team{DefaultTier: "high", HighestTier: "low"}, "defaultTier"},
		{&record.Upstream{Models: []string{"m@1"}}, ""},
		{&record.Upstream{Models: []string{"m@1", "m@2"}}, "models[1]"},
		{&record.Withdrawal{Upstreams: []string{"u", "v"}}, "upstreams[1]"},
	}
	for _, row := range table {
		g := NewWithT(t)
		err := set.Check(row.record)
		if row.field == "" {
			g.Expect(err).NotTo(HaveOccurred())
			continue
		}
		g.Expect(err).To(MatchError(ContainSubstring(row.field)))
	}
}
