package message

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"
)

// filler sets every field that is stored or sent to a different value, in the order of the types' declarations. The
// values depend on this order and not on the names: renaming a field changes no value, but swapping two fields, or
// their keys, changes the values of both.
type filler struct {
	t     *testing.T
	count int
	// generation is the newest generation of fields that are set.
	generation int
}

// Generations of fields: those of the first samples, then those that were added for each later set of samples.
const (
	firstGeneration = iota
	backendsRevisionGeneration
	coordinationGeneration
	replacementsGeneration
	backendsVersionGeneration
	retriesGeneration
)

// addedFields are the fields that were added after the first samples were stored.
var addedFields = map[string]int{
	"PollResponse.BackendsRevision": backendsRevisionGeneration,
	"Message.CallRequest":           coordinationGeneration,
	"Message.CallResponse":          coordinationGeneration,
	"Message.EpochQuery":            coordinationGeneration,
	"Message.EpochQueryResponse":    coordinationGeneration,
	"Message.EpochPrepare":          coordinationGeneration,
	"Message.EpochPrepareResponse":  coordinationGeneration,
	"Message.StateRequest":          coordinationGeneration,
	"Message.StateResponse":         coordinationGeneration,
	"Message.StateWrite":            coordinationGeneration,
	"Message.StateWriteResponse":    coordinationGeneration,
	"Message.IssuerHandOver":        coordinationGeneration,
	"View.Replacements":             replacementsGeneration,
	"PollRequest.BackendsVersion":   backendsVersionGeneration,
	"PollRequest.Retries":           retriesGeneration,
	"PollResponse.Retries":          retriesGeneration,
}

func (f *filler) fill(v reflect.Value) {
	f.t.Helper()
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			generation := addedFields[v.Type().Name()+"."+field.Name]
			if field.Tag.Get("msg") != "-" && generation <= f.generation {
				f.fill(v.Field(i))
			}
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			f.count++
			v.SetBytes([]byte{byte(f.count >> 8), byte(f.count)})
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fill(v.Index(0))
		f.fill(v.Index(1))
	case reflect.String:
		f.count++
		v.SetString("text " + string(rune('a'+f.count%26)) + string(rune('a'+f.count/26%26)))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Uint8, reflect.Uint64:
		f.count++
		v.SetUint(uint64(f.count))
	case reflect.Int, reflect.Int64:
		f.count++
		v.SetInt(int64(f.count))
	case reflect.Float64:
		f.count++
		v.SetFloat(float64(f.count) + 0.5)
	default:
		f.t.Fatalf("no value for %v", v.Type())
	}
}

// storedRecords returns the types whose encoding by an earlier version, cef8855, is stored in testdata: the records
// that coordinators keep on disk, and a message with all its possible contents. The samples are never rewritten. The
// filler leaves out the fields that were added later: they have samples of their own, see addedSamples.
func storedRecords() map[string]encodable {
	return map[string]encodable{
		"control-state.msgp": &ControlState{}, "chain-state.msgp": &ChainState{}, "change-record.msgp": &ChangeRecord{}, "message.msgp": &Message{},
	}
}

type encodable interface {
	msgp.Marshaler
	msgp.Unmarshaler
}

func filled(t *testing.T, empty encodable) encodable {
	t.Helper()
	value := reflect.New(reflect.TypeOf(empty).Elem())
	(&filler{t: t}).fill(value.Elem())
	return value.Interface().(encodable)
}

func TestReadsRecordsStoredByEarlierVersion(t *testing.T) {
	for name, record := range storedRecords() {
		t.Run(name, func(t *testing.T) {
			encoded, err := os.ReadFile(filepath.Join("testdata", name))
			require.NoError(t, err)
			rest, err := record.UnmarshalMsg(encoded)
			require.NoError(t, err)
			assert.Empty(t, rest)
			assert.Equal(t, filled(t, record), record)
		})
	}
}

// addedSample is a sample that includes fields added after the first samples.
type addedSample struct {
	record     encodable
	generation int
}

func addedSamples() map[string]addedSample {
	return map[string]addedSample{
		"message-backends-revision.msgp":  {&Message{}, backendsRevisionGeneration},
		"message-coordination.msgp":       {&Message{}, coordinationGeneration},
		"coordination-record.msgp":        {&CoordinationRecord{}, coordinationGeneration},
		"coordination-state.msgp":         {&CoordinationState{}, coordinationGeneration},
		"coordination-write.msgp":         {&CoordinationWrite{}, coordinationGeneration},
		"control-state-replacements.msgp": {&ControlState{}, replacementsGeneration},
		"message-backends-version.msgp":   {&Message{}, backendsVersionGeneration},
		"message-retries.msgp":            {&Message{}, retriesGeneration},
	}
}

func TestReadsAndWritesFieldsAddedLater(t *testing.T) {
	for name, sample := range addedSamples() {
		t.Run(name, func(t *testing.T) {
			encoded, err := os.ReadFile(filepath.Join("testdata", name))
			require.NoError(t, err)
			record := sample.record
			value := reflect.New(reflect.TypeOf(record).Elem())
			(&filler{t: t, generation: sample.generation}).fill(value.Elem())
			written, err := value.Interface().(encodable).MarshalMsg(nil)
			require.NoError(t, err)
			assert.True(t, bytes.Equal(encoded, written), "the encoding differs from the stored one")
			rest, err := record.UnmarshalMsg(encoded)
			require.NoError(t, err)
			assert.Empty(t, rest)
			assert.Equal(t, value.Interface(), record)
		})
	}
}

// A backend list is identified by a digest of its encoding, so the encoding must also stay the same byte for byte.
func TestWritesRecordsAsStoredByEarlierVersion(t *testing.T) {
	for name, record := range storedRecords() {
		t.Run(name, func(t *testing.T) {
			encoded, err := os.ReadFile(filepath.Join("testdata", name))
			require.NoError(t, err)
			written, err := filled(t, record).MarshalMsg(nil)
			require.NoError(t, err)
			assert.True(t, bytes.Equal(encoded, written), "the encoding differs from the one stored by the earlier version")
		})
	}
}

// Without a msg tag the key would be the field's name, so renaming the field would change the encoding.
func TestEveryFieldHasAnExplicitKey(t *testing.T) {
	seen := map[reflect.Type]bool{}
	var check func(reflect.Type)
	check = func(of reflect.Type) {
		for of.Kind() == reflect.Pointer || of.Kind() == reflect.Slice {
			of = of.Elem()
		}
		if of.Kind() != reflect.Struct || seen[of] {
			return
		}
		seen[of] = true
		for i := range of.NumField() {
			field := of.Field(i)
			assert.NotEmpty(t, field.Tag.Get("msg"), "%v.%s", of, field.Name)
			check(field.Type)
		}
	}
	for _, record := range storedRecords() {
		check(reflect.TypeOf(record))
	}
	for _, sample := range addedSamples() {
		check(reflect.TypeOf(sample.record))
	}
	assert.GreaterOrEqual(t, len(seen), 40, "fewer types checked than expected: no record or message refers to some type")
}
