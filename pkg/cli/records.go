package cli

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"os"
	"slices"
	"strconv"

	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/platform"
	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// fileOptions are the options of commands that read records from a file.
type fileOptions struct {
	File string `short:"f" long:"file" required:"true" description:"file with JSON envelopes; - reads standard input"`
}

// recordRow is one record in the output of a command.
type recordRow struct {
	Kind    record.Kind     `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version,omitempty"`
	Schema  string          `json:"schema,omitempty"`
	Result  string          `json:"result,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
}

func (a *app) printRows(rows []recordRow) error {
	table := [][]string{{"KIND", "NAME", "VERSION", "SCHEMA", "RESULT"}}
	for _, r := range rows {
		table = append(table, []string{string(r.Kind), r.Name, strconv.FormatUint(r.Version, 10), r.Schema, r.Result})
	}
	return a.print(rows, table)
}

type applyCommand struct {
	app *app
	fileOptions
}

// Execute validates all records against those on the platform before it writes
// the first one. Each write requires that the record still has the version that
// was read.
func (c *applyCommand) Execute([]string) error {
	envelopes, err := c.app.readFile(c.File)
	if err != nil {
		return err
	}
	checked, err := c.app.checkReferences(envelopes)
	if err != nil {
		return err
	}
	var rows []recordRow
	for _, envelope := range envelopes {
		written, err := c.app.write(envelope, checked.versions[keyOf(envelope)])
		if err != nil {
			// Records written before the error are in effect and are printed.
			_ = c.app.printRows(rows)
			return err
		}
		rows = append(rows, written)
	}
	return c.app.printRows(rows)
}

type validateCommand struct {
	app *app
	fileOptions
	Offline bool `long:"offline" description:"do not check references to records on the platform"`
}

// Execute validates records without writing them.
func (c *validateCommand) Execute([]string) error {
	envelopes, err := c.app.readFile(c.File)
	if err != nil {
		return err
	}
	var checked checkResult
	if !c.Offline {
		if checked, err = c.app.checkReferences(envelopes); err != nil {
			return err
		}
	}
	var rows []recordRow
	for _, envelope := range envelopes {
		result := "valid"
		if warning := checked.warnings[keyOf(envelope)]; warning != "" {
			result = "valid, but " + warning
		}
		rows = append(rows, recordRow{Kind: envelope.Kind, Name: envelope.Name, Schema: envelope.Schema, Result: result})
	}
	return c.app.printRows(rows)
}

func keyOf(envelope record.Envelope) conf.Key {
	return conf.Key{Kind: envelope.Kind, Name: envelope.Name}
}

// readFile reads envelopes and validates each of them on its own.
func (a *app) readFile(path string) ([]record.Envelope, error) {
	var data []byte
	var err error
	if path == "-" {
		data, err = io.ReadAll(a.in)
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "read records")
	}
	envelopes, err := record.ParseEnvelopes(data)
	if err != nil {
		return nil, err
	}
	if len(envelopes) == 0 {
		return nil, errkind.New(errkind.InvalidRecord, "%s holds no record", path)
	}
	seen := map[conf.Key]bool{}
	for _, envelope := range envelopes {
		if _, err := envelope.Record(); err != nil {
			return nil, err
		}
		if seen[keyOf(envelope)] {
			return nil, errkind.New(errkind.InvalidRecord, "%s %s: field name: occurs twice", envelope.Kind, envelope.Name)
		}
		seen[keyOf(envelope)] = true
	}
	return envelopes, nil
}

// checkResult is the result of checking records against the platform.
type checkResult struct {
	// versions holds the versions of the records on the platform.
	versions map[conf.Key]uint64
	// warnings say why valid records would have no effect.
	warnings map[conf.Key]string
}

// checkReferences validates the references of records against the state of the
// platform after they are written. It rejects records that would leave a Team or
// an Upstream on the platform with a dangling reference.
func (a *app) checkReferences(envelopes []record.Envelope) (checkResult, error) {
	list, err := a.listKinds(record.Kinds()...)
	if err != nil {
		return checkResult{}, err
	}
	checked := checkResult{versions: map[conf.Key]uint64{}, warnings: map[conf.Key]string{}}
	cache := conf.NewCache()
	var existing, written []conf.Object
	for _, object := range list.Objects {
		key := conf.Key{Kind: record.Kind(object.Kind), Name: object.Name}
		checked.versions[key] = object.Version
		existing = append(existing, conf.Object{Key: key, Version: object.Version, Body: object.Body})
	}
	for i, envelope := range envelopes {
		body, err := encode(envelope)
		if err != nil {
			return checkResult{}, err
		}
		written = append(written, conf.Object{Key: keyOf(envelope), Version: list.Version + uint64(i) + 1, Body: body})
	}
	cache.Merge(existing, true)
	before := recordSet(cache.Snapshot())
	cache.Merge(written, true)
	after := recordSet(cache.Snapshot())
	for _, envelope := range envelopes {
		parsed, err := envelope.Record()
		if err != nil {
			return checkResult{}, err
		}
		if err := after.Check(parsed); err != nil {
			return checkResult{}, err
		}
		checked.warnings[keyOf(envelope)] = after.Warning(parsed)
	}
	if dangling := after.NewlyInvalid(before); len(dangling) > 0 {
		return checkResult{}, errkind.Wrap(errkind.InvalidRecord, errors.Join(dangling...), "the change breaks references")
	}
	return checked, nil
}

func recordSet(snapshot *conf.Snapshot) record.Set {
	return record.Set{Tiers: snapshot.Tiers, Teams: snapshot.Teams, Models: snapshot.Models, Upstreams: snapshot.Upstreams}
}

func (a *app) listKinds(kinds ...record.Kind) (platform.List, error) {
	names := make([]string, 0, len(kinds))
	for _, kind := range kinds {
		names = append(names, string(kind))
	}
	return a.platform.List(a.ctx, names...)
}

func encode(envelope record.Envelope) ([]byte, error) {
	body, err := json.Marshal(envelope)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidRecord, err, "%s %s", envelope.Kind, envelope.Name)
	}
	return body, nil
}

// write writes an envelope if the object on the platform still has the version
// that was read; 0 means that the object must not exist.
func (a *app) write(envelope record.Envelope, version uint64) (recordRow, error) {
	body, err := encode(envelope)
	if err != nil {
		return recordRow{}, err
	}
	object := platform.Object{Kind: string(envelope.Kind), Name: envelope.Name, Body: body}
	precondition := platform.Precondition{Absent: version == 0, Version: version}
	result := "created"
	if version != 0 {
		result = "updated"
	}
	written, err := platform.PutWithReadback(a.ctx, a.platform, object, precondition)
	if err != nil {
		return recordRow{}, err
	}
	return recordRow{Kind: envelope.Kind, Name: envelope.Name, Version: written, Schema: envelope.Schema, Result: result}, nil
}

type withdrawCommand struct {
	app          *app
	Name         string   `long:"name" required:"true" description:"name of the withdrawal, for restore"`
	Batch        string   `long:"batch" description:"withdraw the upstreams of a batch"`
	Upstreams    []string `long:"upstream" description:"withdraw an upstream; may be repeated"`
	ModelVersion string   `long:"model-version" description:"withdraw a model version, as model@version"`
	Reason       string   `long:"reason" description:"shown to operators"`
}

// Execute writes a single record, so that the withdrawal takes effect as a whole.
// It validates the record but not its references: a withdrawal must not depend on
// a listing, and an upstream that is added later is withdrawn too.
func (c *withdrawCommand) Execute([]string) error {
	spec, err := json.Marshal(record.Withdrawal{
		Batch: c.Batch, Upstreams: c.Upstreams, ModelVersion: c.ModelVersion, Reason: c.Reason,
	})
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode the withdrawal")
	}
	envelope := record.Envelope{Schema: record.SchemaV2, Kind: record.KindWithdrawal, Name: c.Name, Spec: spec}
	if _, err := envelope.Record(); err != nil {
		return err
	}
	written, err := c.app.write(envelope, 0)
	if errkind.KindOf(err) == errkind.Conflict {
		return errkind.Wrap(errkind.Conflict, err, "Withdrawal %s exists; restore it or choose another name", c.Name)
	}
	if err != nil {
		return err
	}
	return c.app.printRows([]recordRow{written})
}

type restoreCommand struct {
	app  *app
	Args struct {
		Name string `positional-arg-name:"NAME" description:"name of the withdrawal"`
	} `positional-args:"true" required:"true"`
}

// Execute deletes the withdrawal if it still has the version that was read.
func (c *restoreCommand) Execute([]string) error {
	kind := string(record.KindWithdrawal)
	current, err := c.app.platform.Get(c.app.ctx, kind, c.Args.Name)
	if err != nil {
		return err
	}
	version, err := platform.DeleteWithReadback(c.app.ctx, c.app.platform, kind, c.Args.Name, current.Version)
	if err != nil {
		return err
	}
	return c.app.printRows([]recordRow{{Kind: record.KindWithdrawal, Name: c.Args.Name, Version: version, Result: "deleted"}})
}

type listCommand struct {
	app  *app
	Args struct {
		Kinds []string `positional-arg-name:"KIND" description:"kinds to list; all without any"`
	} `positional-args:"true"`
}

// Execute lists records.
func (c *listCommand) Execute([]string) error {
	kinds := record.Kinds()
	if len(c.Args.Kinds) > 0 {
		kinds = nil
	}
	for _, kind := range c.Args.Kinds {
		if err := checkKind(kind); err != nil {
			return err
		}
		kinds = append(kinds, record.Kind(kind))
	}
	list, err := c.app.listKinds(kinds...)
	if err != nil {
		return err
	}
	var rows []recordRow
	// The platform lists objects by version, which mixes kinds.
	slices.SortStableFunc(list.Objects, func(a, b platform.Object) int {
		return cmp.Or(cmp.Compare(applyOrder(a.Kind), applyOrder(b.Kind)), cmp.Compare(a.Name, b.Name))
	})
	for _, object := range list.Objects {
		rows = append(rows, newRecordRow(object, false))
	}
	return c.app.printRows(rows)
}

// applyOrder returns the position of a kind in the order in which records can be
// applied: no kind refers to a later one.
func applyOrder(kind string) int { return slices.Index(record.Kinds(), record.Kind(kind)) }

// checkKind rejects an unknown kind, for which the platform would return an empty
// list.
func checkKind(kind string) error {
	if !slices.Contains(record.Kinds(), record.Kind(kind)) {
		return errkind.New(errkind.BadRequest, "kind %q is not one of %q", kind, record.Kinds())
	}
	return nil
}

type describeCommand struct {
	app  *app
	Args struct {
		Kind string `positional-arg-name:"KIND"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"true" required:"true"`
}

// Execute shows one record with its spec.
func (c *describeCommand) Execute([]string) error {
	if err := checkKind(c.Args.Kind); err != nil {
		return err
	}
	object, err := c.app.platform.Get(c.app.ctx, c.Args.Kind, c.Args.Name)
	if err != nil {
		return err
	}
	r := newRecordRow(object, true)
	if c.app.Output == "json" {
		return c.app.print(r, nil)
	}
	var spec bytes.Buffer
	if json.Indent(&spec, r.Spec, "", "  ") != nil {
		spec.Write(r.Spec)
	}
	return c.app.print(nil, [][]string{
		{"kind:", string(r.Kind)}, {"name:", r.Name}, {"version:", strconv.FormatUint(r.Version, 10)},
		{"schema:", r.Schema}, {"state:", r.Result}, {"spec:"}, {spec.String()},
	})
}

func newRecordRow(object platform.Object, withSpec bool) recordRow {
	r := recordRow{Kind: record.Kind(object.Kind), Name: object.Name, Version: object.Version, Result: "understood"}
	envelope, _, err := record.Parse(object.Body)
	if err != nil {
		r.Result = err.Error()
	}
	r.Schema = envelope.Schema
	if withSpec {
		r.Spec = envelope.Spec
	}
	return r
}
