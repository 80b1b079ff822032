package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

var byteOrder = binary.BigEndian

// Codes of the records in a batch (package simlink).
const (
	codeSpawn          = 1000
	codeMembership     = 1010
	codeRequestArrived = 1020
	codeTimerFired     = 1060
	codeKilled         = 1090
	codeCatalog        = 1100
	codeUnknown        = 4000
)

// batch encodes records as a batch with its header.
func batch(now uint64, records ...[]byte) []byte {
	var body []byte
	for _, r := range records {
		body = append(body, r...)
	}
	b := byteOrder.AppendUint32(nil, uint32(len(body)))
	b = byteOrder.AppendUint32(b, uint32(len(records)))
	return append(byteOrder.AppendUint64(b, now), body...)
}

// record encodes a record of an instance. Strings are preceded by their length.
func record(code, instance uint16, fields ...any) []byte {
	b := byteOrder.AppendUint16(byteOrder.AppendUint16(nil, code), instance)
	for _, f := range fields {
		switch v := f.(type) {
		case uint8:
			b = append(b, v)
		case uint16:
			b = byteOrder.AppendUint16(b, v)
		case uint32:
			b = byteOrder.AppendUint32(b, v)
		case uint64:
			b = byteOrder.AppendUint64(b, v)
		case string:
			b = append(byteOrder.AppendUint32(b, uint32(len(v))), v...)
		}
	}
	return b
}

const settings = `{"Classes": [{"Semantics": "pure", "OnTime": 300000, "HardLimit": 900000, "Worth": 1}],
	"GroupSize": 3, "RegistryMode": "subscribe", "LoadInfo": {"Columns": ["rps", "cpu", "err_rps"],
	"How": "piggyback"}, "Limits": {"TryLimit": 3, "MostHeld": 1000},
	"Rules": {"AskWithin": 10000000, "Cold": 20000000, "ColdShare": 0.1, "TipMultiple": 3, "TipAfter": 2000000}}`

// script returns the batches of a run of several instances.
func script(instances []uint16) [][]byte {
	var batches [][]byte
	now := uint64(1_000_000)
	first := [][]byte{}
	catalog := byteOrder.AppendUint32(byteOrder.AppendUint16(byteOrder.AppendUint16(nil, codeCatalog), 0), 20)
	for i := range uint32(20) {
		catalog = byteOrder.AppendUint32(catalog, 500+i)
		catalog = append(catalog, 0, 0, 0, 0, 0, 1)
		catalog = byteOrder.AppendUint32(catalog, 0x3f800000)
		catalog = byteOrder.AppendUint64(catalog, 0)
	}
	first = append(first, catalog)
	for _, i := range instances {
		first = append(first, record(codeSpawn, i, uint64(i)*77, settings),
			record(codeMembership, i, uint8(2), uint16(0), uint64(1)))
	}
	batches = append(batches, batch(now), batch(now, first...))
	for step := range uint64(300) {
		now += 5000
		var records [][]byte
		for _, i := range instances {
			rng := rand.New(rand.NewPCG(step, uint64(i)))
			if rng.IntN(2) == 0 {
				records = append(records, record(codeRequestArrived, i, step+1, uint32(500_000), uint8(0), uint32(0),
					rng.Uint64(), uint32(0), uint8(0)))
			}
			if step%20 == 0 {
				records = append(records, record(codeTimerFired, i, uint64(0)))
			}
		}
		batches = append(batches, batch(now, records...))
	}
	return batches
}

// replies runs batches and returns the encoded actions of each instance, each after the number of its reply.
func replies(t *testing.T, batches [][]byte) map[uint16]string {
	t.Helper()
	var out bytes.Buffer
	if err := serve(bytes.NewReader(bytes.Join(batches, nil)), &out); err != nil {
		t.Fatal(err)
	}
	// Sizes in bytes of the records in a reply, by the codes that simlink.AppendAction writes.
	recordSize := map[uint16]int{1000: 20, 1010: 16, 1020: 12, 1030: 13, 1040: 16, 1050: 8, 1060: 8, 1100: 5}
	byInstance := map[uint16]string{}
	frames := 0
	for b := out.Bytes(); len(b) > 0; frames++ {
		size, count := byteOrder.Uint32(b), byteOrder.Uint32(b[4:])
		body := b[8 : 8+size]
		b = b[8+size:]
		for ; count > 0; count-- {
			n := recordSize[byteOrder.Uint16(body)]
			if n == 0 {
				t.Fatalf("unexpected action code %d", byteOrder.Uint16(body))
			}
			instance := byteOrder.Uint16(body[2:])
			byInstance[instance] += fmt.Sprintf("%d:%x ", frames, body[:n])
			body = body[n:]
		}
		if len(body) != 0 {
			t.Fatal("reply is longer than its records")
		}
	}
	if frames != len(batches) {
		t.Fatalf("%d replies to %d batches", frames, len(batches))
	}
	return byInstance
}

// The same events lead to the same actions of an instance, whether or not other instances run in the process.
func TestInstancesAreIndependent(t *testing.T) {
	together := replies(t, script([]uint16{1, 2, 3}))
	again := replies(t, script([]uint16{1, 2, 3}))
	for _, i := range []uint16{1, 2, 3} {
		alone := replies(t, script([]uint16{i}))
		if len(together[i]) < 1000 {
			t.Fatalf("instance %d has too few actions", i)
		}
		if together[i] != alone[i] || together[i] != again[i] {
			t.Errorf("instance %d acts differently with others, alone or when repeated", i)
		}
	}
}

func TestServe_DoesNotAnswerMalformedInput(t *testing.T) {
	good := batch(1, record(codeSpawn, 1, uint64(1), settings))
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"truncated header":  {good[:10], "batch 0: header truncated"},
		"truncated body":    {good[:len(good)-3], "batch 0: body truncated"},
		"length over limit": {append([]byte{0xff, 0xff, 0xff, 0xff}, good[4:]...), "over the limit"},
		"count over length": {byteOrder.AppendUint64(byteOrder.AppendUint32(byteOrder.AppendUint32(nil, 4), 2), 1),
			"2 records cannot fit"},
		"bytes left over":  {batch(1, append(record(codeKilled, 1), 0, 0)), "2 bytes follow"},
		"unknown instance": {batch(1, record(codeTimerFired, 9, uint64(0))), "instance 9 was not started"},
		"invalid settings": {batch(1, record(codeSpawn, 1, uint64(1), `{}`)), "no classes"},
		"unknown code":     {batch(1, record(codeUnknown, 1)), "unknown event code 4000"},
	} {
		var out bytes.Buffer
		err := serve(bytes.NewReader(c.in), &out)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", name, err, c.want)
		}
		if out.Len() != 0 {
			t.Errorf("%s: replied with %d bytes", name, out.Len())
		}
	}
	var out bytes.Buffer
	if err := serve(bytes.NewReader(nil), &out); err != nil || out.Len() != 0 {
		t.Errorf("empty input: %v", err)
	}
}
