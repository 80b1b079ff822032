package coordinator

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
)

// brokenBody is a body whose client disconnects.
type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

func TestOperatorAPI_BodyThatIsNotReadWhole(t *testing.T) {
	for _, c := range []struct {
		name string
		body io.Reader
		want int
	}{
		{"too large", bytes.NewReader(make([]byte, maxConfigBody+1)), http.StatusRequestEntityTooLarge},
		{"broken off", brokenBody{}, http.StatusBadRequest},
	} {
		response := httptest.NewRecorder()
		(&operatorAPI{}).ServeHTTP(response, httptest.NewRequest(http.MethodPut, "/config", c.body))
		assert.Equal(t, c.want, response.Code, c.name)
	}
}
