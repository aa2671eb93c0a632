package verdict

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against the verdict "not run" for an attempt of which bytes may have been sent.
func TestAttemptVerdict(t *testing.T) {
	tests := []struct {
		name  string
		steps func(*Attempt)
		want  string
	}{
		{"never sent", func(*Attempt) {}, "not-run"},
		{"sent, no answer", func(a *Attempt) { a.Begin() }, "may-have-run"},
		{"refused by the leaf", func(a *Attempt) { a.Begin(); a.Refused() }, "not-run"},
		{"answered", func(a *Attempt) { a.Begin(); a.Answered() }, "completed"},
		{"refusal without a send is ignored", func(a *Attempt) { a.Refused(); a.Begin() }, "may-have-run"},
		{"answer after refusal is ignored", func(a *Attempt) { a.Begin(); a.Refused(); a.Answered() }, "not-run"},
		{"second send after an answer", func(a *Attempt) { a.Begin(); a.Answered(); a.Begin() }, "completed"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var a Attempt
			test.steps(&a)
			qt.Assert(t, a.Verdict().String(), qt.Equals, test.want)
			qt.Assert(t, Parse(a.Verdict().String()), qt.Equals, a.Verdict())
		})
	}
}

// Guards against taking an error without a verdict for a refusal.
func TestUnknownErrorMayHaveRun(t *testing.T) {
	qt.Assert(t, Of(errors.New("reset")), qt.Equals, MayHaveRun())
	qt.Assert(t, Parse("anything"), qt.Equals, MayHaveRun())
	qt.Assert(t, Of(Refusef(CodeInvalid, "bad")).IsNotRun(), qt.IsTrue)
}

// Guards against merging to "not run" when one part ran.
func TestMerge(t *testing.T) {
	notRun := Of(Refusef(CodeInvalid, "bad"))
	qt.Assert(t, Merge(notRun, notRun), qt.Equals, notRun)
	qt.Assert(t, Merge(notRun, Completed()), qt.Equals, MayHaveRun())
	qt.Assert(t, Merge(), qt.Equals, MayHaveRun())
}
