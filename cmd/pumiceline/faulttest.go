package main

import (
	"encoding/json"
	"fmt"
	"os"
)

// faulttestCmd is `pumiceline faulttest`. The aliases are the commands' earlier names.
type faulttestCmd struct {
	Run            faulttestRunCmd            `cmd:"" help:"Run a script: real proxies, with faults between them and fakes of backends and discovery."`
	Cluster        faulttestClusterCmd        `cmd:"" aliases:"owners" help:"Inject faults drawn from a seed into members and instances of singleton roles, and check the effects."`
	DiscoveryCache faulttestDiscoveryCacheCmd `cmd:"" aliases:"roster" help:"Count the requests to discovery where each instance has a cache of its list, and kill the role's holder."`
}

// writeResult writes a result as JSON to a file. It writes nothing if path is empty.
func writeResult(path string, result any) error {
	if path == "" {
		return nil
	}
	text, err := json.MarshalIndent(result, "", " ")
	if err == nil {
		err = os.WriteFile(path, append(text, '\n'), 0o644)
	}
	if err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	return nil
}
