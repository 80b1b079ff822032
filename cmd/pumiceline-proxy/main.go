// Command pumiceline-proxy runs a machine's part in the data plane: it accepts clients' requests and forwards each to a
// backend that holds the requested model. It is configured by a settings file (package bootstrap).
package main

import (
	"pumiceline/internal/dataplane/proxy"
	"pumiceline/internal/process"
)

func main() { process.Main("pumiceline-proxy", proxy.Run) }
