package configuration

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/message"
)

// A copy of a document is not read again, and what is kept of documents is bounded.
func TestValidator_ReadsDocumentOnce(t *testing.T) {
	validator := NewValidator()
	for range 3 {
		for i := range 2 * keptDocuments {
			version, err := validator.readVersion(fmt.Appendf(nil, `{"version":%d}`, 1+i))
			assert.NoError(t, err)
			assert.Equal(t, Version(1+i), version)
		}
		assert.Len(t, validator.documents, keptDocuments)
	}
	faulty := []byte(`{"version":`)
	_, err := validator.readVersion(faulty)
	assert.Error(t, err)
	_, again := validator.readVersion(faulty)
	assert.Equal(t, err, again)
}

// The result depends on the state, also for a document that was read before.
func TestValidator_ChecksKnownDocumentAgainstState(t *testing.T) {
	validator := NewValidator()
	request := &message.ConfigRequest{Method: http.MethodPut, IfMatch: "1", Body: []byte(`{"version":2}`)}
	for _, c := range []struct {
		version uint64
		want    int
	}{{0, 0}, {1, http.StatusOK}, {2, http.StatusPreconditionFailed}, {1, http.StatusOK}} {
		assert.Equal(t, c.want, validator.Validate(&message.ChainState{Version: c.version}, request).Status, "on version %d", c.version)
	}
}
