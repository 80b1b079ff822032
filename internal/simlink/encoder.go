package simlink

import (
	"encoding/binary"
	"math"

	"pumiceline/internal/standalone/policy"
)

// Codes of the records in a reply. The names in comments are the simulator's.
const (
	codeSendAttempt        = 1000 // Transmit
	codeRejectRequest      = 1010 // Reject
	codeFailRequest        = 1020 // Error
	codeCancelAttempt      = 1030 // Recall
	codeSetTimer           = 1040 // NotifyMe
	codePollLoad           = 1050 // AskLoad
	codeCloseIdleConns     = 1060 // DropConns
	codeLogMessage         = 1080 // Record
	codeSubscribeDiscovery = 1100 // Observe
)

// AppendAction appends the record of one action of an instance to a reply's body and returns the body. It appends
// nothing for an action of an unknown kind.
func AppendAction(b []byte, instance uint16, a *policy.Action) []byte {
	be := binary.BigEndian
	header := func(code uint16) { b = be.AppendUint16(be.AppendUint16(b, code), instance) }
	switch a.Kind {
	case policy.SendAttempt:
		header(codeSendAttempt)
		b = be.AppendUint32(be.AppendUint32(be.AppendUint64(b, a.ID), a.Server), clampDuration(a.After))
	case policy.RejectRequest:
		header(codeRejectRequest)
		b = be.AppendUint32(be.AppendUint64(b, a.ID), clampDuration(a.After))
	case policy.FailRequest:
		header(codeFailRequest)
		b = be.AppendUint64(b, a.ID)
	case policy.CancelAttempt:
		header(codeCancelAttempt)
		b = append(be.AppendUint64(b, a.ID), a.Attempt)
	case policy.SetTimer:
		header(codeSetTimer)
		b = be.AppendUint64(be.AppendUint32(b, clampDuration(a.After)), a.ID)
	case policy.PollLoad:
		header(codePollLoad)
		b = be.AppendUint32(b, a.Server)
	case policy.CloseIdleConns:
		header(codeCloseIdleConns)
		b = be.AppendUint32(b, a.Server)
	case policy.SubscribeDiscovery:
		header(codeSubscribeDiscovery)
		b = append(b, 1)
	case policy.LogMessage:
		text := a.Text[:min(len(a.Text), math.MaxUint16)]
		header(codeLogMessage)
		b = append(be.AppendUint16(b, uint16(len(text))), text...)
	}
	return b
}

// clampDuration limits a duration to the range of the protocol's unsigned 32 bits.
func clampDuration(t policy.Time) uint32 { return uint32(max(0, min(t, math.MaxUint32))) }
