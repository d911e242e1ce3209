package owner

import (
	"testing"

	"github.com/matryer/is"

	"baobabfield.example/wire/pgwire"
)

func TestConnectionWithAnOpenTransactionIsNotUsedAgain(t *testing.T) {
	tests := []struct {
		status byte
		broken bool
		want   bool
	}{
		{0, false, false},
		{pgwire.StatusIdle, false, false},
		{pgwire.StatusInTx, false, true},
		{pgwire.StatusFailed, false, true},
		{pgwire.StatusIdle, true, true},
	}
	for _, tt := range tests {
		is := is.New(t)
		ep := &endpointTask{inbox: make(chan any, 1), stopped: make(chan struct{})}
		x := &txn{task: ep, connStatus: tt.status, connBroken: tt.broken}
		x.releaseConnection()
		is.Equal((<-ep.inbox).(returnConnection).broken, tt.want)
	}
}
