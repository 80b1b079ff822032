package message

// MemberID identifies a member as long as it keeps its disk: it is drawn when the disk is first written, so a machine whose
// disk was lost comes back as another member at the same address. The members of the first view derive theirs from
// their addresses. In Message.From a proxy puts its node name in its place.
type MemberID string

// ViewNumber counts the agreed views from 1. 0 stands for no view.
type ViewNumber uint64

// FencingToken numbers the grants of the controller lease: each later lease has a higher one, so whoever executes the
// controller's commands can reject those of an earlier holder. 0 stands for no lease.
type FencingToken uint64

// BackendID identifies one start of a backend process, as the platform's list names it: a backend that restarts at the
// same address gets another ID.
type BackendID string
