// Package fakesystem provides fakes of the external systems that PROTOCOL.md describes: backends with models, backends
// of a service that must run each request at most once, and the platform's list of backends. The fakes run on loopback,
// for demonstrations and tests.
package fakesystem
