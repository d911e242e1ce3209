package owner

import (
	"testing"

	"github.com/matryer/is"

	"baobabfield.example/wire/pgwire"
)

func TestConnectionWithOpenTransactionIsNotReused(t *testing.T) {
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
		task := &endpointTask{inbox: make(chan any, 1), stopped: make(chan struct{})}
		x := &txn{task: task, connStatus: tt.status, connBroken: tt.broken}
		x.releaseConnection()
		is.Equal((<-task.inbox).(returnConnection).broken, tt.want)
	}
}
