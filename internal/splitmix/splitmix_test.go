package splitmix

import "testing"

// The expected values are the output of the reference implementation with seed 1234567. It increments its state by the
// same constant that Mix adds to its argument.
func TestMix_ReferenceSequence(t *testing.T) {
	const increment = 0x9e3779b97f4a7c15
	state := uint64(1234567)
	for i, want := range []uint64{6457827717110365317, 3203168211198807973, 9817491932198370423, 4593380528125082431,
		16408922859458223821} {
		if got := Mix(state); got != want {
			t.Errorf("output %d is %d, want %d", i, got, want)
		}
		state += increment
	}
}
