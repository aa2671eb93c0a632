package httpapi

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"cyclamenstream/api/operator"
	"cyclamenstream/api/verdict"
)

// Codes of errors that only the HTTP interface has.
const (
	codeNotFound         verdict.Code = "not_found"
	codeMethodNotAllowed verdict.Code = "method_not_allowed"
)

// statuses maps codes to HTTP status codes. A code that is not listed has status 503, since the tier cannot serve the
// request at present.
var statuses = map[verdict.Code]int{
	verdict.CodeInvalid:        http.StatusBadRequest,
	verdict.CodeUnknownService: http.StatusNotFound,
	codeNotFound:               http.StatusNotFound,
	codeMethodNotAllowed:       http.StatusMethodNotAllowed,
	codeRequestTimeout:         http.StatusRequestTimeout,
	verdict.CodeDuplicate:      http.StatusConflict,
	verdict.CodeQuarantined:    http.StatusConflict,
	verdict.CodeTooLarge:       http.StatusRequestEntityTooLarge,
	codeUnsupportedMediaType:   http.StatusUnsupportedMediaType,
	verdict.CodeOverloaded:     http.StatusTooManyRequests,
	verdict.CodeDeadline:       http.StatusGatewayTimeout,
	verdict.CodeInternal:       http.StatusInternalServerError,
}

// outcomeStatuses maps the outcomes of a change to HTTP status codes.
var outcomeStatuses = map[operator.Outcome]int{
	operator.Accepted:    http.StatusOK,
	operator.Conflict:    http.StatusConflict,
	operator.Rejected:    http.StatusBadRequest,
	operator.Unavailable: http.StatusServiceUnavailable,
	operator.Unresolved:  http.StatusGatewayTimeout,
}

func statusOf(code verdict.Code) int {
	if status, known := statuses[code]; known {
		return status
	}
	return http.StatusServiceUnavailable
}

// writeError writes err as a problem body.
func writeError(c *gin.Context, err error, requestID string) {
	code := verdict.CodeOf(err)
	writeProblem(c, Problem{
		Status: statusOf(code), Code: code, Message: verdict.Message(err), Verdict: verdict.Of(err).String(), RequestID: requestID,
	})
}

func writeProblem(c *gin.Context, p Problem) {
	p.Title = http.StatusText(p.Status)
	if verdict.Parse(p.Verdict).IsNotRun() && (p.Status == http.StatusServiceUnavailable || p.Status == http.StatusTooManyRequests) {
		c.Header("Retry-After", "1")
	}
	writeBody(c, p.Status, TypeProblem, p)
	c.Abort()
}
