package model

import "testing"

// A server that met a key of late does a part of the work, remembers only so many keys, and forgets all with its process.
func TestKeysWarmServers(t *testing.T) {
	w := Quotes()
	w.Keys = Keys{Count: 10, Gain: 0.6, For: 2e6, PerCore: 2}
	r := &run{w: &w}
	s := &server{kind: &Kind{Cores: 2}}
	met := func(at Time, key uint64) bool { r.now = at; return r.meets(s, key) }
	if met(1, 7) || !met(1_000_000, 7) || met(4_000_000, 7) || !met(4_500_000, 7) {
		t.Error("a key is warm for two seconds after each meeting, and at no other time")
	}
	for key := range uint64(4) { // four places: the last of them pushes 7 out
		met(4_600_000+Time(key), 100+key)
	}
	if met(4_700_000, 7) || met(4_700_001, 100) || !met(4_700_002, 103) || len(s.met) != 4 {
		t.Errorf("of four places %d are held, and not by the last met", len(s.met))
	}
	w.Keys.Count = 0
	if met(4_700_003, 103) {
		t.Error("warm where there are no keys")
	}
}

// The same world on a slower clock is the same world: as many requests come, each with as much of its time, to the last microsecond
// that rounding leaves.
func TestPacedWorlds(t *testing.T) {
	w := Quotes()
	w.Troubles = []Trouble{{Kind: "report_late", At: 4e6, For: 2e6, Part: 1, Size: 1.5}, {Kind: "hang", At: 1e6, For: 1e6, Part: 0.1}}
	x := w.Paced(2)
	if x.Length != 2*w.Length || x.Classes[1].Aim != 2*w.Classes[1].Aim || x.Kinds[0].Pause != 2*w.Kinds[0].Pause ||
		x.Told.Cold != 2*w.Told.Cold || x.Net.Same != 2*w.Net.Same || x.Troubles[0].Size != 3 || x.Troubles[1].At != 2e6 ||
		x.Load != w.Load || x.Classes[1].Worth != w.Classes[1].Worth || w.Classes[1].Aim != Quotes().Classes[1].Aim {
		t.Errorf("twice as slow: %+v", x)
	}
	y := w.Waiting(0.5)
	if k, was := y.Classes[0], w.Classes[0]; k.Work != was.Work/2 || k.Wait < was.Work/2 || k.Wait > was.Work || w.Classes[0].Wait != 0 {
		t.Errorf("half of the work waits: %v of work and %v of waits, of %v", k.Work, k.Wait, was.Work)
	}
}
