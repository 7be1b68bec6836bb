package trainer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"bulrushspoke/entry/internal/dispatch"
	"bulrushspoke/wire"
)

// scoreRequest is the body of a request to a scorer and scoreAnswer that of its response. The id is that of the attempt
// that produced the text, so that a scorer can recognize a repeated call.
type scoreRequest struct {
	ID   string `json:"id"`
	Text string `json:"text"`
}

type scoreAnswer struct {
	ID    string  `json:"id"`
	Value float64 `json:"value"`
}

// score requests the score of a sample until the scorer answers. It returns false if the sample is no longer needed.
func (s *Step) score(ctx context.Context, a *attempt, sample *wire.Sample) bool {
	body, err := json.Marshal(scoreRequest{ID: sample.ID, Text: sample.Text})
	if err != nil {
		return false
	}
	pause := minRetryPause
	for ctx.Err() == nil {
		r, err := s.trainer.options.Dispatcher.Run(ctx, dispatch.Job{
			Work: wire.Work{
				Class: class, Workspace: s.spec.Workspace, Profile: s.spec.Profile, Request: s.requestName(a.slot),
				Model: s.spec.Scorer, Call: &wire.Call{Method: fasthttp.MethodPost, Path: "/score", Body: body},
			},
			Deadline: time.Now().Add(s.attemptTimeout()),
		})
		var answer scoreAnswer
		if err == nil && r.Reply != nil && r.Reply.Status == fasthttp.StatusOK &&
			json.Unmarshal(r.Reply.Body, &answer) == nil && answer.ID == sample.ID {
			sample.Score, sample.Scored = answer.Value, true
			return true
		}
		s.wait(ctx, nil, pause)
		pause = min(2*pause, maxRetryPause)
	}
	return false
}
