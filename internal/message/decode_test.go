package message

import (
	"encoding/binary"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"
)

// listOf returns a message whose poll response has a list of load totals with a number of elements in its header.
func listOf(count uint32, elements []byte) []byte {
	encoded := msgp.AppendMapHeader(nil, 1)
	encoded = msgp.AppendString(encoded, "pu")
	encoded = msgp.AppendMapHeader(encoded, 1)
	encoded = msgp.AppendString(encoded, "d")
	encoded = msgp.AppendArrayHeader(encoded, count)
	return append(encoded, elements...)
}

func TestDecode_RejectsWhatNamesMoreThanArrived(t *testing.T) {
	nested := make([]byte, 2*maxDepth)
	for i := range nested {
		nested[i] = 0x91 // a list of one element
	}
	cases := []struct {
		name    string
		encoded []byte
		want    error
	}{
		{"list without its elements", listOf(1<<32-1, nil), ErrMalformed},
		{"list of many empty structs", listOf(8<<20, repeated(8<<20, 0x80)), ErrTooLarge},
		{"text without its bytes", []byte{0x81, 0xdb, 0xff, 0xff, 0xff, 0xff}, ErrMalformed},
		{"map without its entries", []byte{0xdf, 0xff, 0xff, 0xff, 0xff}, ErrMalformed},
		{"deep nesting", nested, ErrTooDeep},
		{"byte that MessagePack does not use", []byte{0x81, 0xa1, 'f', 0xc1}, ErrMalformed},
		{"nothing", nil, ErrMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var m Message
			assert.ErrorIs(t, Decode(&m, c.encoded), c.want)
			runtime.ReadMemStats(&after)
			assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(1<<20))
		})
	}
}

func repeated(count int, value byte) []byte {
	data := make([]byte, count)
	for i := range data {
		data[i] = value
	}
	return data
}

// Every form of a value is read over as the library does it.
func TestCheckBounds_ReadsEveryForm(t *testing.T) {
	for first := range 256 {
		encoded := make([]byte, 1+9+17)
		encoded[0] = byte(first)
		binary.BigEndian.PutUint32(encoded[1:], 0)
		rest, err := msgp.Skip(append([]byte(nil), encoded...))
		length, ours := (&scanner{data: encoded}).scan()
		if err != nil {
			assert.Error(t, ours, "%#x", first)
		} else {
			require.NoError(t, ours, "%#x", first)
			assert.Equal(t, len(encoded)-len(rest), length, "%#x", first)
		}
	}
}

// What the bounds accept, and no more, takes bounded memory to decode; what the codecs write is accepted.
func FuzzDecode(f *testing.F) {
	for _, sample := range []Message{
		{Heartbeat: &Heartbeat{}}, {PollRequest: &PollRequest{Demand: []ModelDemand{{}}}},
		{PollResponse: &PollResponse{}}, {StateResponse: &StateResponse{}}, {CatchUp: &CatchUp{}},
	} {
		encoded, err := sample.MarshalMsg(nil)
		require.NoError(f, err)
		f.Add(encoded)
	}
	f.Add(listOf(1<<32-1, nil))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var m Message
		if Decode(&m, encoded) != nil {
			return
		}
		again, err := m.MarshalMsg(nil)
		require.NoError(t, err)
		require.NoError(t, Decode(&Message{}, again))
	})
}

// The largest legitimate state of applications is within the bounds.
func TestDecode_AcceptsLargeState(t *testing.T) {
	state := CoordinationState{}
	const events, holds = 1 << 15, 1 << 12
	group := KeyGroupState{History: make([]KeyEvent, events), Keys: make([]KeyEvent, events)}
	state.KeyGroups = []KeyGroupState{group}
	state.Holds = make([]LockHold, holds)
	encoded, err := state.MarshalMsg(nil)
	require.NoError(t, err)
	require.NoError(t, Decode(&CoordinationState{}, encoded))
}

func BenchmarkDecode(b *testing.B) {
	request := PollRequest{Demand: make([]ModelDemand, 34), Loads: make([]BackendLoad, 64)}
	encoded, err := (&Message{From: "proxy", PollRequest: &request}).MarshalMsg(nil)
	require.NoError(b, err)
	b.Run("codec", func(b *testing.B) {
		for b.Loop() {
			var m Message
			_, _ = m.UnmarshalMsg(encoded) // it was encoded above
		}
	})
	b.Run("bounds and codec", func(b *testing.B) {
		for b.Loop() {
			var m Message
			_ = Decode(&m, encoded) // it was encoded above
		}
	})
}
