package trainer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"bulrushspoke/entry/internal/dispatch"
	"bulrushspoke/wire"
)

// scoreRequest is the body of a call to a scorer and scoreAnswer the body of its answer. The id is that of the attempt
// that produced the text, so that a scorer can tell a repeated call.
type scoreRequest struct {
	ID   string `json:"id"`
	Text string `json:"text"`
}

type scoreAnswer struct {
	ID    string  `json:"id"`
	Value float64 `json:"value"`
}

// score asks the step's scorer for the value of a sample until it answers; false if the sample is not wanted any more.
func (s *Step) score(ctx context.Context, a *attempt, sample *wire.Sample) bool {
	body, err := json.Marshal(scoreRequest{ID: sample.ID, Text: sample.Text})
	if err != nil {
		return false
	}
	pause := firstPause
	for ctx.Err() == nil {
		r, err := s.t.options.Dispatcher.Run(ctx, dispatch.Job{
			Work: wire.Work{
				Class: class, Workspace: s.spec.Workspace, Profile: s.spec.Profile, Request: s.request(a.slot),
				Model: s.spec.Scorer, Call: &wire.Call{Method: fasthttp.MethodPost, Path: "/score", Body: body},
			},
			Deadline: time.Now().Add(s.deadline()),
		})
		var answer scoreAnswer
		if err == nil && r.Reply != nil && r.Reply.Status == fasthttp.StatusOK &&
			json.Unmarshal(r.Reply.Body, &answer) == nil && answer.ID == sample.ID {
			sample.Score, sample.Scored = answer.Value, true
			return true
		}
		s.wait(ctx, nil, pause)
		pause = min(2*pause, lastPause)
	}
	return false
}
