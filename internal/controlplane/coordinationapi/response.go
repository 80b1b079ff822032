package coordinationapi

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"pumiceline/internal/controlplane/coordination"
	"pumiceline/internal/message"
)

// Bodies of responses.
type (
	emptyBody struct{}
	lockBody  struct {
		Token message.FencingToken `json:"fenceNo"`
	}
	numberBody struct {
		Number uint64 `json:"value"`
	}
	revisionBody struct {
		Revision message.Revision `json:"revision"`
	}
	keyBody struct {
		Value    string           `json:"value"`
		Revision message.Revision `json:"revision"`
	}
	eventBody struct {
		Key      message.KeyName  `json:"name"`
		Value    string           `json:"value"`
		Revision message.Revision `json:"revision"`
	}
	watchBody struct {
		Events   []eventBody      `json:"events"` // never null
		Revision message.Revision `json:"revision"`
	}
	errorBody struct {
		Error string `json:"error"`
	}
)

func writeRequestError(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var request *requestError
	if errors.As(err, &request) {
		status = request.status
		if request.allow != "" {
			w.Header().Set("Allow", request.allow)
		}
	}
	writeJSON(w, status, errorBody{Error: err.Error()})
}

// StatusOfError returns the HTTP status for an error of a Caller. A 503 or 429 guarantees that the call was not
// executed.
func StatusOfError(err error) int {
	switch {
	case errors.Is(err, ErrNotExecuted):
		return http.StatusServiceUnavailable
	case errors.Is(err, ErrTooManyCalls):
		return http.StatusTooManyRequests
	}
	return http.StatusGatewayTimeout
}

// writeCallError answers a call for which the Caller returned an error.
func writeCallError(w http.ResponseWriter, err error) {
	status := StatusOfError(err)
	if status != http.StatusGatewayTimeout {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	writeJSON(w, status, errorBody{Error: err.Error()})
}

// writeAnswer writes the answer of an issuer. If this version does not know the status of the answer, it reports an
// unknown outcome, because it cannot tell whether the call was executed.
func writeAnswer(w http.ResponseWriter, kind message.CallKind, answer message.Answer) {
	body := bodyOfAnswer(kind, answer)
	if body == nil {
		writeCallError(w, ErrOutcomeUnknown)
		return
	}
	writeJSON(w, int(answer.Status), body)
}

// bodyOfAnswer returns nil for an unknown status.
func bodyOfAnswer(kind message.CallKind, answer message.Answer) any {
	switch answer.Status {
	case coordination.StatusOK:
		return bodyOfSuccess(kind, answer)
	case coordination.StatusHeld:
		return emptyBody{}
	case coordination.StatusRevisionMismatch:
		return revisionBody{Revision: answer.Revision}
	case coordination.StatusInvalid:
		return errorBody{Error: "after is a revision that was never given"}
	case coordination.StatusNotFound:
		return errorBody{Error: "the key was never put"}
	case coordination.StatusHistoryGone:
		return errorBody{Error: "after is older than the history that is kept"}
	case coordination.StatusInsufficientMemory:
		return errorBody{Error: "the state is as large as it may get"}
	default:
		return nil
	}
}

func bodyOfSuccess(kind message.CallKind, answer message.Answer) any {
	switch kind {
	case message.CallAcquire:
		return lockBody{Token: answer.Token}
	case message.CallNumber:
		return numberBody{Number: answer.Number}
	case message.CallPut:
		return revisionBody{Revision: answer.Revision}
	case message.CallGet:
		return keyBody{Value: answer.Value, Revision: answer.Revision}
	case message.CallWatch:
		events := lo.Map(answer.Events, func(e message.KeyEvent, _ int) eventBody { return eventBody(e) })
		return watchBody{Events: events, Revision: answer.Revision}
	default: // renew, release
		return emptyBody{}
	}
}

// writeJSON writes a complete response. It ignores write errors: a client that lost the connection repeats its call.
func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil { // not expected: every body type of this package can be marshalled
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
