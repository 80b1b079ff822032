package coordinator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/message"
)

// Operators see in the metrics why changes are not acknowledged. Reads are not counted.
func TestConfigRefusals_CountsChangesByReason(t *testing.T) {
	api := &operatorAPI{refusals: newConfigRefusals()}
	change, read := &message.ConfigRequest{Method: http.MethodPatch}, &message.ConfigRequest{Method: http.MethodGet}
	for _, status := range []int{200, 400, 400, 412, 413, 504, 503} {
		api.refusals.count(change, status, strings.Repeat("fault ", 1000))
		api.refusals.count(read, status, "")
	}
	response := httptest.NewRecorder()
	api.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{`"invalid"} 2`, `"stale"} 1`, `"too_large"} 1`, `"undecided"} 1`, `"other"} 1`} {
		assert.Contains(t, response.Body.String(), `pumiceline_config_refused_changes_total{reason=`+line)
	}
}

// A change that names two versions to build on is refused: another reader of the header could take the other one.
func TestOperatorAPI_RefusesTwoBaseVersions(t *testing.T) {
	request := httptest.NewRequest(http.MethodPut, "/config", strings.NewReader("{}"))
	request.Header["If-Match"] = []string{"5", "9"}
	response := httptest.NewRecorder()
	(&operatorAPI{refusals: newConfigRefusals()}).ServeHTTP(response, request)
	assert.Equal(t, http.StatusBadRequest, response.Code)
}

// What is shown of a stored document is made once, and a text that cannot be read is shown as it is.
func TestShownConfigs_ShowsCanonicalText(t *testing.T) {
	var shown shownConfigs
	valid := shown.of([]byte(`{"version":3, "routes":[]}`))
	assert.Equal(t, `{"routes":[],"version":3}`, string(valid.text))
	assert.Empty(t, valid.fault)
	trailing := shown.of([]byte(`{"version":3,"routes":[]}}`))
	assert.Equal(t, `{"routes":[],"version":3}`, string(trailing.text))
	assert.Contains(t, trailing.fault, "text after the JSON value")
	assert.NotEqual(t, valid.digest, trailing.digest)
	unreadable := shown.of([]byte(`no document`))
	assert.Equal(t, `no document`, string(unreadable.text))
	assert.NotEmpty(t, unreadable.fault)
	assert.Empty(t, shown.of(nil).text)
}
