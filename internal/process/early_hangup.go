package process

// The constructor in early_hangup.c ignores SIGHUP before the Go runtime starts. A build without cgo ignores the signal
// only when Main runs.

import "C"
