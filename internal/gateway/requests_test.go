package gateway

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// newRequest returns a request of the given class to the gateway at addr. timeLeft is the time until the client's deadline.
func newRequest(t *testing.T, method, addr, class string, timeLeft time.Duration) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+addr+"/"+class+"/00000000000000aa", nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{"X-Correlation-Id": class, "X-Service-Class": class, "X-Plan": "business",
		"X-Time-Left-Ms": strconv.FormatInt(timeLeft.Milliseconds(), 10),
		"X-IO":           "volume=1,units=1,shard=0,hosts=1"} {
		request.Header.Set(name, value)
	}
	return request
}

// send sends a request, discards the response's body and returns its status.
func send(client *http.Client, request *http.Request) (status int, err error) {
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // only the status matters, even if the body cannot be read
	return response.StatusCode, nil
}
