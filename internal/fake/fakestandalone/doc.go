// Package fakestandalone provides fakes of the systems around the standalone proxy: discovery, backends, clients and a
// recorder of effects. They use the published protocol, on loopback or on an in-memory network, for demonstrations and
// tests.
package fakestandalone
