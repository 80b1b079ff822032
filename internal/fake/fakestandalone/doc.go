// Package fakestandalone has fakes of what surrounds the standalone proxy: discovery, backends, clients and a recorder of
// effects. They speak the published protocol, on loopback or on a network in memory, for demonstrations and tests.
package fakestandalone
