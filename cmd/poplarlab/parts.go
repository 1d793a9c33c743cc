package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/cli"
	"poplarrouter.example/poplarrouter/internal/labdb"
	"poplarrouter.example/poplarrouter/internal/labkv"
)

const headerTimeout = 5 * time.Second

func storeCommand() *cli.Command {
	var address, databases, hosts string
	return &cli.Command{
		CommandName: "store",
		Summary:     "run a stand-in for the platform's store",
		Text:        "poplarlab store -address IP:PORT [-databases FILE] [-hosts FILE]\n  Serves objects over HTTP. The files hold the first Databases and Hosts documents.",
		Flags: func(f *flag.FlagSet) {
			f.StringVar(&address, "address", "127.0.0.1:7000", "IP and port to listen on")
			f.StringVar(&databases, "databases", "", "a JSON file with the Databases document")
			f.StringVar(&hosts, "hosts", "", "a JSON file with the Hosts document")
		},
		Run: func(ctx context.Context, _ []string) error {
			kv := labkv.New()
			for kind, file := range map[book.Kind]string{book.Databases: databases, book.Hosts: hosts} {
				if err := putFile(ctx, kv, kind, file); err != nil {
					return err
				}
			}
			return serveStore(ctx, kv, address)
		},
	}
}

// putFile stores a document from a file, unless no file is given.
func putFile(ctx context.Context, kv *labkv.Memory, kind book.Kind, file string) error {
	if file == "" {
		return nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if _, err := book.ParseDoc(kind, raw); err != nil {
		return err
	}
	_, err = kv.Put(ctx, string(kind), raw, "")
	return err
}

func serveStore(ctx context.Context, kv *labkv.Memory, address string) error {
	server := &http.Server{Addr: address, Handler: kv, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	fmt.Println("store listens on", address)
	err := server.ListenAndServe()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func memberCommand() *cli.Command {
	var o labdb.Options
	return &cli.Command{
		CommandName: "member",
		Summary:     "run a stand-in for a database member",
		Text:        "poplarlab member -address IP:PORT [-leader IP:PORT] [-slots N] [-connections N] ...\n  Serves the PostgreSQL protocol. With a leader it is a replica of it.",
		Flags:       func(f *flag.FlagSet) { memberFlags(f, &o) },
		Run: func(ctx context.Context, _ []string) error {
			m, cleanUp, err := labdb.New(o)
			if err != nil {
				return err
			}
			defer cleanUp()
			fmt.Println("member listens on", m.Address())
			<-ctx.Done()
			return nil
		},
	}
}

func memberFlags(f *flag.FlagSet, o *labdb.Options) {
	const slots, connections = 5, 35
	f.StringVar(&o.Address, "address", "127.0.0.1:7100", "IP and port to listen on")
	f.StringVar(&o.Leader, "leader", "", "IP and port of the primary to follow")
	f.IntVar(&o.Slots, "slots", slots, "statements that run at a time")
	f.IntVar(&o.Connections, "connections", connections, "connections accepted at a time")
	f.DurationVar(&o.ConnectDelay, "connect-delay", 0, "time that a new connection takes")
	f.DurationVar(&o.ApplyLag, "apply-lag", 0, "time that a replica waits before it applies an entry")
	f.DurationVar(&o.ServiceTime, "service-time", 0, "least time that a statement holds its slot")
}
