package configuration

import (
	"math"
	"strconv"
	"time"

	"pumiceline/internal/docreader"
)

// Bounds of the numbers in a document. They are far above what a deployment has, and low enough that no plan or table
// made from a document exhausts the memory.
const (
	maxCount = 1 << 31
	// maxAdapters bounds the adapters of one model, and maxAllAdapters those of all: placement ranks each of them.
	maxAdapters    = 100_000
	maxAllAdapters = 200_000
	maxMB          = 1e12
	maxSeconds     = 24 * 60 * 60
	maxMs          = maxSeconds * 1000
	maxRate        = 1e9
	maxShare       = 1e9
	// maxWholeFloat is the largest number below which a floating-point number has no fraction lost: 2^53.
	maxWholeFloat = 1 << 53
)

// numberField is a number that a document may have: its key, its value where it is missing, and what it may be. The
// lowest value is 0.
type numberField struct {
	key      string
	fallback float64
	max      float64
	isWhole  bool
}

// The numbers of services and their models.
var (
	maxConnectionsField = numberField{key: "maxConns", max: maxCount, isWhole: true}
	batchSizeField      = numberField{key: "capacity", fallback: 1, max: maxCount, isWhole: true}
	cacheTokensField    = numberField{key: "cacheTokens", max: maxCount, isWhole: true}
	weightCapacityField = numberField{key: "weightsMb", max: maxMB}
	adapterSlotsField   = numberField{key: "adapterSlots", max: maxCount, isWhole: true}
	loadsPerSecondField = numberField{key: "loadsPerS", fallback: 1, max: maxRate}
	modelWeightsField   = numberField{key: "weightsMb", max: maxMB}
	loadSecondsField    = numberField{key: "loadS", max: maxSeconds}
	adaptersField       = numberField{key: "adapters", max: maxAdapters, isWhole: true}
	adapterMBField      = numberField{key: "adapterMb", max: maxMB}
)

// The numbers of routes and limits.
var (
	timeoutField       = numberField{key: "timeoutMs", max: maxMs}
	latencyTargetField = numberField{key: "targetMs", max: maxMs}
	maxEventGapField   = numberField{key: "gap_aim_ms", max: maxMs}
	priorityField      = numberField{key: "priority", fallback: defaultPriority, max: maxCount, isWhole: true}
	maxAttemptsField   = numberField{key: "tries", fallback: 1, max: maxCount, isWhole: true}
	shareField         = numberField{key: "share", max: maxShare}
	headerBytesField   = numberField{key: "headerBytes", fallback: defaultHeaderBytes, max: maxCount, isWhole: true}
	bodyBytesField     = numberField{key: "bodyBytes", fallback: defaultBodyBytes, max: maxCount, isWhole: true}
	headerTimeoutField = numberField{key: "headerWaitMs", fallback: float64(defaultHeaderTimeout / time.Millisecond), max: maxMs}
	idleTimeoutField   = numberField{key: "idleTimeoutMs", fallback: float64(defaultIdleTimeout / time.Millisecond), max: maxMs}
)

// read returns the number of an object, within its bounds.
func (f numberField) read(object docreader.Node) float64 {
	return f.bounded(object.Field(f.key).Number(f.fallback))
}

// bounded returns the nearest number within the bounds, which an earlier version did not check.
func (f numberField) bounded(number float64) float64 {
	number = min(f.max, max(0, number))
	if f.isWhole {
		return math.Trunc(number)
	}
	return number
}

func (f numberField) count(object docreader.Node) int { return int(f.read(object)) }

func (f numberField) milliseconds(object docreader.Node) time.Duration {
	return time.Duration(f.read(object) * float64(time.Millisecond))
}

func (f numberField) seconds(object docreader.Node) time.Duration {
	return time.Duration(f.read(object) * float64(time.Second))
}

// fault returns why a value is out of its bounds; empty: it is not, or it is no number, which is reported when it is read.
func (f numberField) fault(value any) string {
	number, ok := docreader.Finite(value)
	switch {
	case !ok:
		return ""
	case number < 0:
		return "must not be negative"
	case number > f.max:
		return "must be at most " + strconv.FormatFloat(f.max, 'f', -1, 64)
	case f.isWhole && number != math.Trunc(number):
		return "a whole number is wanted"
	}
	return ""
}

// readVersion returns the version of a document without rounding it. 0 means that there is none.
func readVersion(node docreader.Node) Version {
	if version, ok := node.WholeNumber(); ok {
		return Version(version)
	}
	number := node.Number(0) // such as 1e3
	if number < 1 || number > maxWholeFloat || number != math.Trunc(number) {
		return 0
	}
	return Version(number)
}

// readRequiredVersion returns the version of a document or a change, or records that there is none.
func readRequiredVersion(root docreader.Node) Version {
	version := readVersion(root.Field("version"))
	if version == 0 {
		root.Field("version").AddFault("a whole number above 0 is wanted")
	}
	return version
}
