package message

// MemberID identifies a member for as long as it keeps its disk. It is generated when the disk is first written, and is
// partly random, so a machine that has lost its disk returns as another member at the same address. The IDs of the
// members of the first view are derived from their addresses. In Message.From, a proxy sends its node name instead.
type MemberID string

// ViewNumber counts the agreed views from 1. 0 stands for no view.
type ViewNumber uint64

// FencingToken numbers the grants of the controller lease. Each later lease has a higher token, so a backend can reject
// the commands of an earlier lease holder. 0 stands for no lease. The locks of applications have fencing tokens from a
// counter of their own (CoordinationState.LastToken).
type FencingToken uint64

// BackendID identifies one start of a backend process, as the platform's list names it: a backend that restarts at the
// same address gets another ID.
type BackendID string
