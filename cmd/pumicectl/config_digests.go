package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/controlplane/coordinator"
	"pumiceline/internal/dataplane/proxy"
)

// configInForce is the configuration that one process has in force.
type configInForce struct {
	address string // of the process
	version configuration.Version
	digest  string // of the stored text; empty: the process is of a version without it, or has no configuration
	fault   string // why the stored text would not be accepted now; empty: it would
}

func configOfCoordinator(address string, status *coordinator.Status) configInForce {
	return configInForce{address: address, version: status.Version, digest: status.ConfigDigest, fault: status.ConfigFault}
}

// configOfProxy asks a proxy, at its address for readiness checks, for the configuration that it applies.
func configOfProxy(ctx context.Context, address string) (configInForce, error) {
	r, err := sendTo(ctx, address, request{method: http.MethodGet, path: "/status"})
	if err != nil {
		return configInForce{}, err
	}
	var status proxy.Status
	if err := json.Unmarshal(r.body, &status); err != nil {
		return configInForce{}, errors.Wrap(err, "its answer")
	}
	config := configInForce{address: address}
	if status.Config != nil {
		config.version, config.digest = status.Config.Version, status.Config.Digest
	}
	return config, nil
}

// describeConfigs returns a line for each process whose configuration differs from that of the others, by its version or
// by its digest under the same version, and one for each document that would not be accepted now.
func describeConfigs(configs []configInForce) []string {
	newest := lo.MaxBy(configs, func(a, b configInForce) bool { return a.version > b.version })
	digests := map[configuration.Version]configInForce{} // the first process with each version
	var lines []string
	for _, config := range configs {
		if config.fault != "" {
			lines = append(lines, fmt.Sprintf("%s: version %d is not valid now: %s", config.address, config.version, config.fault))
		}
		if config.version != newest.version {
			lines = append(lines, fmt.Sprintf("%s: has version %d; %s has version %d", config.address, config.version, newest.address, newest.version))
		}
		if config.digest == "" {
			continue
		}
		first, isKnown := digests[config.version]
		if !isKnown {
			digests[config.version] = config
		} else if first.digest != config.digest {
			lines = append(lines, fmt.Sprintf("%s: version %d differs from that of %s: digest %s, not %s",
				config.address, config.version, first.address, config.digest, first.digest))
		}
	}
	return lines
}

// splitAddresses returns the addresses of a list that is separated by commas.
func splitAddresses(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' })
}
