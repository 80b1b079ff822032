package message

// LeaseRequest asks a voter to grant the controller lease, or to renew it.
type LeaseRequest struct {
	Token     FencingToken `msg:"t"`
	RequestID uint64       `msg:"r"`
	Renewal   bool         `msg:"n"` // the sender holds the lease under this token
}

// LeaseGrant answers LeaseRequest. A majority of grants makes the sender of the request the lease holder.
type LeaseGrant struct {
	RequestID uint64       `msg:"r"`
	Granted   bool         `msg:"g"`
	Token     FencingToken `msg:"t"` // the highest token that the grantor has granted
}

// LeaseRelease releases the lease before it expires.
type LeaseRelease struct {
	Token FencingToken `msg:"t"`
}
