package command

import (
	"context"
	"os"
	"time"

	"github.com/go-faster/errors"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/sheet"
	"lacewingramp.example/lacewingramp/internal/config/tablestore"
	"lacewingramp.example/lacewingramp/internal/platform/etcd"
)

// storeOptions are the options of commands that access the store.
type storeOptions struct {
	Store   string        `long:"store" env:"LACEWINGRAMP_STORE" default:"http://127.0.0.1:2379" description:"base URL of the platform's store"`
	Timeout time.Duration `long:"timeout" env:"LACEWINGRAMP_TIMEOUT" default:"5s" description:"maximum total duration of the command's calls to the store"`
}

func (o *storeOptions) tablestore() (*tablestore.TableStore, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	return &tablestore.TableStore{Store: &etcd.Client{Address: o.Store}}, ctx, cancel
}

// operatorOptions are the options of commands that edit the table.
type operatorOptions struct {
	Operator string `long:"operator" env:"LACEWINGRAMP_OPERATOR" description:"name of the operator, recorded in the audit trail" required:"yes"`
}

// fileArgument is the positional argument of commands that read a table from a file.
type fileArgument struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"table as a CSV file"`
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

// editTable applies modify to the current table and commits the result. If another edit
// was committed in the meantime, it applies modify to the new table and tries again,
// because the changes made by modify do not depend on other edits.
func editTable(o *storeOptions, operator string, modify func(*lacewingramp.Table) error) (*lacewingramp.Table, error) {
	const maxAttempts = 5
	ts, ctx, cancel := o.tablestore()
	defer cancel()
	for range maxAttempts {
		t, err := ts.Get(ctx)
		if err != nil {
			return nil, err
		}
		if err := modify(t); err != nil {
			return nil, err
		}
		committed, err := ts.Put(ctx, t, tablestore.Commit{Operator: operator, Base: t.Revision, Time: time.Now()})
		if !errors.Is(err, tablestore.ErrOutdatedBase) {
			return committed, err
		}
	}
	return nil, tablestore.ErrOutdatedBase
}
