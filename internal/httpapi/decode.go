package httpapi

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"cyclamenstream/api/config"
	"cyclamenstream/api/query"
	"cyclamenstream/api/verdict"
)

// codeUnsupportedMediaType is the code for a body that is not uncompressed JSON.
const codeUnsupportedMediaType verdict.Code = "unsupported_media_type"

// codeRequestTimeout is the code for a body that did not arrive in time.
const codeRequestTimeout verdict.Code = "request_timeout"

// readBody reads the JSON body of a request and decodes it into value.
func (s *server) readBody(w http.ResponseWriter, r *http.Request, value any) error {
	media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || media != TypeJSON {
		return verdict.Refusef(codeUnsupportedMediaType, "Content-Type %q; allowed: %s", r.Header.Get("Content-Type"), TypeJSON)
	}
	if encoding := r.Header.Get("Content-Encoding"); encoding != "" && encoding != "identity" {
		return verdict.Refusef(codeUnsupportedMediaType, "Content-Encoding %q; allowed: none", encoding)
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return verdict.Refusef(verdict.CodeTooLarge, "body has more than %d bytes", s.MaxBodyBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return verdict.Refusef(codeRequestTimeout, "body did not arrive in time")
	case err != nil:
		return verdict.Refusef(verdict.CodeInvalid, "body could not be read: %v", err)
	}
	return decodeJSON(data, value)
}

// decodeJSON decodes exactly one JSON object without unknown fields.
func decodeJSON(data []byte, value any) error {
	if !bytes.HasPrefix(bytes.TrimLeft(data, " \t\r\n"), []byte("{")) {
		return verdict.Refusef(verdict.CodeInvalid, "body is not a JSON object")
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return verdict.Refusef(verdict.CodeInvalid, "%s", jsonMessage(err))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return verdict.Refusef(verdict.CodeInvalid, "body has data after the JSON object, at byte %d", decoder.InputOffset())
	}
	return nil
}

func jsonMessage(err error) string {
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	var base64Error base64.CorruptInputError
	switch {
	case errors.As(err, &wrongType):
		return "field " + strconv.Quote(wrongType.Field) + " is a JSON " + wrongType.Value + "; allowed: " +
			wrongType.Type.String()
	case errors.As(err, &syntax):
		return "body is not JSON: " + syntax.Error() + " at byte " + strconv.FormatInt(syntax.Offset, 10)
	case errors.As(err, &base64Error):
		return "payload is not standard base64: " + base64Error.Error()
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "body is not JSON: it ends inside the object"
	}
	return strings.TrimPrefix(err.Error(), "json: ")
}

// newRequest checks a query's body and headers and returns the request. received is the time at which it arrived.
func newRequest(body QueryBody, header http.Header, received time.Time) (query.Request, error) {
	request := query.Request{
		Caller: body.Caller, ID: body.ID, Service: body.Service, Profile: body.Profile,
		Shards: slices.Sorted(slices.Values(body.Shards)), Payload: body.Payload, NonIdempotent: body.NonIdempotent,
	}
	for _, name := range []string{HeaderRequestID, HeaderTimeout} {
		if values := header.Values(name); len(values) > 1 {
			return request, verdict.Refusef(verdict.CodeInvalid, "header %s is given %d times: %q", name, len(values), values)
		}
	}
	if id := header.Get(HeaderRequestID); id != "" {
		if body.ID != "" && body.ID != id {
			return request, verdict.Refusef(verdict.CodeInvalid, "id %q in the body differs from %s %q", body.ID, HeaderRequestID, id)
		}
		request.ID = id
	}
	if request.Service == "" {
		return request, verdict.Refusef(verdict.CodeInvalid, "service is missing")
	}
	for _, field := range []struct{ name, value string }{
		{"caller", request.Caller}, {"id", request.ID}, {"service", request.Service}, {"profile", request.Profile},
	} {
		if err := checkIdentifier(field.name, field.value); err != nil {
			return request, err
		}
	}
	if request.NonIdempotent && (request.Caller == "" || request.ID == "") {
		return request, verdict.Refusef(verdict.CodeInvalid, "a request that is not idempotent needs caller and id")
	}
	for i := 1; i < len(request.Shards); i++ {
		if request.Shards[i] == request.Shards[i-1] {
			return request, verdict.Refusef(verdict.CodeInvalid, "shards names shard %d twice", request.Shards[i])
		}
	}
	if len(request.Payload) > query.MaxPayloadBytes {
		return request, verdict.Refusef(verdict.CodeTooLarge, "payload has %d bytes; allowed: at most %d",
			len(request.Payload), query.MaxPayloadBytes)
	}
	var err error
	request.Deadline, err = deadline(header, received)
	return request, err
}

// checkIdentifier rejects a value that is too long or that cannot be written in a header or a log line.
func checkIdentifier(name, value string) error {
	if len(value) > query.MaxIdentifierBytes {
		return verdict.Refusef(verdict.CodeInvalid, "%s has %d bytes; allowed: at most %d", name, len(value), query.MaxIdentifierBytes)
	}
	if strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return verdict.Refusef(verdict.CodeInvalid, "%s = %q; allowed: printable ASCII without spaces", name, value)
	}
	return nil
}

// deadline returns the deadline that the caller's timeout header sets, or the zero time if the profile sets it. A
// timeout above config.MaxDeadline is reduced to it, since no profile allows more.
func deadline(header http.Header, received time.Time) (time.Time, error) {
	text := header.Get(HeaderTimeout)
	if text == "" {
		return time.Time{}, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 0 {
		return time.Time{}, verdict.Refusef(verdict.CodeInvalid, "%s = %q; allowed: an integer from 0 (milliseconds)", HeaderTimeout, text)
	}
	if millis == 0 {
		return time.Time{}, nil
	}
	timeout := time.Duration(min(millis, config.MaxDeadline.Milliseconds())) * time.Millisecond
	if time.Since(received) >= timeout {
		return time.Time{}, verdict.Refusef(verdict.CodeDeadline, "the deadline of %v passed before the request was read", timeout)
	}
	return received.Add(timeout), nil
}
