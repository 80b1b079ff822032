package configuration

import (
	"fmt"
	"strings"
	"testing"
)

// BenchmarkParse parses a configuration of the size of a large deployment: 2,096 models with 1,535 adapters. A proxy
// applies no list of backends while it parses.
func BenchmarkParse(b *testing.B) {
	const models, adapters = 2096, 1535
	var list strings.Builder
	for i := range models {
		if i > 0 {
			list.WriteByte(',')
		}
		fmt.Fprintf(&list, `{"name":"model-%d","weightsMb":70,"loadS":4,"adapterMb":1`, i)
		if i < adapters {
			list.WriteString(`,"adapters":1`)
		}
		list.WriteByte('}')
	}
	document := fmt.Appendf(nil, `{"version":1,"routes":[],"services":[{"name":"llm","maxConns":2100,"runtime":{"capacity":64,`+
		`"cacheTokens":119431,"weightsMb":220,"adapterSlots":8,"loadsPerS":92,"models":[%s]}}]}`, list.String())
	b.SetBytes(int64(len(document)))
	for b.Loop() {
		if _, err := Parse(document); err != nil {
			b.Fatal(err)
		}
	}
}
