// Command pumiceline-proxy runs a machine's part in the data plane of the system: it takes clients' requests and passes
// each to a backend that holds the requested model.
package main

import (
	"pumiceline/internal/dataplane/proxy"
	"pumiceline/internal/process"
)

func main() { process.Main("pumiceline-proxy", proxy.Run) }
