package command

import (
	"context"
	"os"
	"time"

	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/ledger"
	"lacewingramp.example/lacewingramp/internal/config/sheet"
	"lacewingramp.example/lacewingramp/internal/platform/etcd"
)

// storeOptions are the options of commands that talk to the store.
type storeOptions struct {
	Store   string        `long:"store" env:"LACEWINGRAMP_STORE" default:"http://127.0.0.1:2379" description:"base URL of the platform's store"`
	Timeout time.Duration `long:"timeout" env:"LACEWINGRAMP_TIMEOUT" default:"5s" description:"how long a command waits for the store"`
}

func (o *storeOptions) ledger() (*ledger.Ledger, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	return &ledger.Ledger{Store: &etcd.Client{Address: o.Store}}, ctx, cancel
}

// operatorOptions say who edits.
type operatorOptions struct {
	Operator string `long:"operator" env:"LACEWINGRAMP_OPERATOR" description:"who makes the edit, for the audit trail" required:"yes"`
}

// fileArgument is a table file.
type fileArgument struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"table as CSV"`
	} `positional-args:"yes" required:"yes"`
}

func (f *fileArgument) read() (*lacewingramp.Table, error) {
	file, err := os.Open(f.Args.File)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return sheet.Decode(f.Args.File, file)
}

// edit changes the current table and commits it. Where another operator was
// faster it begins anew, since the change itself does not depend on theirs.
func edit(o *storeOptions, operator string, change func(*lacewingramp.Table) error) (*lacewingramp.Table, error) {
	const tries = 5
	l, ctx, cancel := o.ledger()
	defer cancel()
	for range tries {
		t, err := l.Get(ctx)
		if err != nil {
			return nil, err
		}
		if err := change(t); err != nil {
			return nil, err
		}
		done, err := l.Put(ctx, t, ledger.Commit{Operator: operator, Base: t.Revision, Moment: time.Now()})
		if !errors.Is(err, ledger.ErrBase) {
			return done, err
		}
	}
	return nil, ledger.ErrBase
}
