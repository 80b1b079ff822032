// Package fakesystem has fakes of what surrounds the system, as PROTOCOL.md describes it: backends with models, backends of
// a service that must run each request at most once, and the platform's list of backends. They run on loopback, for
// demonstrations and tests.
package fakesystem
