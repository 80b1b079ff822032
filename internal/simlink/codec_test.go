package simlink

import (
	"encoding/hex"
	"math"
	"strings"
	"testing"

	"pumiceline/internal/standalone/policy"
)

// decodeHex decodes hexadecimal digits with spaces between them.
func decodeHex(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Records in the form in which the simulator sends them.
const (
	arrival  = "03fc 0003 000912295d3a91c4 0003a980 01 00000002 91f03b7c55d20a64 00002ee0 01"
	finished = "0410 0003 000912295d3a91c4 00 03124a07 0003 00004844 01 02 3f000000 41680000"
	catalog  = "044c 0000 00000002 03124a07 00 0000 0000 01 3f800000 0000000000000000" +
		"2c9011f2 01 0001 0002 02 3fc00000 00000000005d1420"
	update = "03f2 0003 02 0000 0000000000000029"
)

// decode decodes records until the first error.
func decode(t testing.TB, text string) (records []Record, err error) {
	t.Helper()
	var d Decoder
	d.Reset(decodeHex(t, text))
	for d.Remaining() > 0 {
		var r Record
		if err := d.Next(&r); err != nil {
			return records, err
		}
		records = append(records, r)
	}
	return records, nil
}

func TestDecoder_Events(t *testing.T) {
	records, err := decode(t, arrival+finished+catalog+update)
	if err != nil {
		t.Fatal(err)
	}
	ev := records[0].Event
	if records[0].Instance != 3 || ev.Kind != policy.RequestArrived || ev.ID != 0x000912295d3a91c4 || ev.Class != 1 ||
		ev.ClientTimeout != 0x3a980 || ev.Tenant != 2 || ev.AffinityKey != 0x91f03b7c55d20a64 || ev.Work != 0x2ee0 {
		t.Errorf("arrival read as %+v", ev)
	}
	ev = records[1].Event
	if ev.Kind != policy.AttemptEnded || ev.Outcome != policy.TimedOut || ev.Server != 0x03124a07 || !ev.Final ||
		ev.Elapsed != 0x4844 || len(ev.Report) != 2 || ev.Report[0] != 0.5 || ev.Report[1] != 14.5 {
		t.Errorf("outcome read as %+v", ev)
	}
	ev = records[3].Event
	want := policy.Member{Server: 0x2c9011f2, Zone: 1, InstanceType: 1, Cell: 2, Mode: policy.ModeDraining, Size: 1.5,
		StartedAt: 0x5d1420}
	if ev.Kind != policy.MembershipCached || len(ev.Members) != 2 || ev.Members[1] != want {
		t.Errorf("membership read as %+v", ev)
	}
}

func TestDecoder_ReadsWorkOnlyWhereMarkedValid(t *testing.T) {
	records, err := decode(t, arrival[:len(arrival)-2]+"06")
	if err != nil || records[0].Event.Work != 0 {
		t.Errorf("work %d, error %v", records[0].Event.Work, err)
	}
}

func TestDecoder_NamesMalformedRecords(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"unknown code":      {"1234 0003", "unknown event code 4660"},
		"truncated arrival": {arrival[:35], "JobIn at byte 0"},
		"truncated report":  {finished[:len(finished)-4], "Finished at byte 0"},
		"unknown outcome":   {strings.Replace(finished, " 0003 00004844", " 0009 00004844", 1), "Finished"},
		"catalog count":     {"044c 0000 ffffffff", "4294967295 entries do not fit"},
		"catalog number":    {"044c 0010 00000000", "list number 16"},
		"catalog not sent":  {update, "names catalog 0"},
		"list kind":         {catalog + "03f2 0003 09 0000 0000000000000029", "unknown kind 9"},
		"settings":          {"03e8 0003 0000000000000001 00000001 7b", "settings"},
		"settings length":   {"03e8 0003 0000000000000001 ffffffff 7b", "Spawn at byte 0"},
		"truncated code":    {"03", "record at byte 0"},
	} {
		_, err := decode(t, c.text)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one with %q", name, err, c.want)
		}
	}
}

func TestAppendAction(t *testing.T) {
	for _, c := range []struct {
		action policy.Action
		want   string
	}{
		{policy.Action{Kind: policy.SendAttempt, ID: 0x000912295d3a91c4, Server: 0x03124a07, After: 80_000},
			"03e8 0003 000912295d3a91c4 03124a07 00013880"},
		{policy.Action{Kind: policy.RejectRequest, ID: 0x000ec3ff0e6f2b19, After: 250_000},
			"03f2 0003 000ec3ff0e6f2b19 0003d090"},
		{policy.Action{Kind: policy.FailRequest, ID: 0x000ec3ff0e6f2b19}, "03fc 0003 000ec3ff0e6f2b19"},
		{policy.Action{Kind: policy.CancelAttempt, ID: 0x000912295d3a91c4, Attempt: 2}, "0406 0003 000912295d3a91c4 02"},
		{policy.Action{Kind: policy.SetTimer, ID: 0x4d, After: 500_000}, "0410 0003 0007a120 000000000000004d"},
		{policy.Action{Kind: policy.SetTimer, ID: 0x4d, After: math.MaxInt64}, "0410 0003 ffffffff 000000000000004d"},
		{policy.Action{Kind: policy.PollLoad, Server: 0x2c9011f2}, "041a 0003 2c9011f2"},
		{policy.Action{Kind: policy.SubscribeDiscovery}, "044c 0003 01"},
		{policy.Action{Kind: policy.LogMessage, Text: "two servers known"},
			"0438 0003 0011 74776f2073657276657273206b6e6f776e"},
	} {
		if got := AppendAction(nil, 3, &c.action); string(got) != string(decodeHex(t, c.want)) {
			t.Errorf("%+v written as %x, want %s", c.action, got, c.want)
		}
	}
}

// FuzzDecoder looks for input that makes the decoder panic, read past the end or make no progress.
func FuzzDecoder(f *testing.F) {
	for _, s := range []string{arrival, finished, catalog + update, "03e8 0003 0000000000000001 00000002 7b7d",
		"0442 0003", "0424 0003 000000000000004d", "041a 0005 000ec3ff0e6f2b19", "1234",
		"042e 0003 2c9011f2 0000 00000578 01 3f000000", "0438 0003 00000002 0004 68692037"} {
		f.Add(decodeHex(f, s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var d Decoder
		var r Record
		d.Reset(b)
		for d.Remaining() > 0 {
			before := d.Remaining()
			if d.Next(&r) != nil {
				return
			}
			if d.Remaining() >= before {
				t.Fatal("decoding a record consumed no bytes")
			}
		}
	})
}
