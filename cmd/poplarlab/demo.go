package main

import (
	"context"
	"fmt"
	"io"
	"net"

	"time"

	"poplarrouter.example/poplarrouter/internal/cli"
	"poplarrouter.example/poplarrouter/internal/labset"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		CommandName: "demo",
		Summary:     "run a store, a database of three members and two proxies in one process",
		Text:        "poplarlab demo\n  Prints the addresses and lines to try, and runs until it is interrupted.",
		Run: func(ctx context.Context, _ []string) error {
			return demo(ctx)
		},
	}
}

const readyTimeout = 10 * time.Second

// demo runs a cluster in this process and prints its addresses and example commands.
func demo(ctx context.Context) error {
	set, cleanUp, err := labset.New(labset.Options{Members: 3, Proxies: 2, Log: io.Discard})
	if err != nil {
		return err
	}
	defer cleanUp()
	if err := set.AwaitReady(ctx, readyTimeout); err != nil {
		return err
	}
	fmt.Println("store:   ", set.StoreAddress())
	for i, m := range set.Members() {
		fmt.Printf("member %d: %s\n", i+1, m.Address())
	}
	for i, p := range set.Proxies() {
		fmt.Printf("proxy %d:  %s\n", i+1, p.Address())
	}
	host, port, err := net.SplitHostPort(set.Proxies()[0].Address())
	if err != nil {
		return err
	}
	fmt.Printf("\nTry:\n  PGPASSWORD=%s psql -h %s -p %s -U %s %s\n", labset.Password, host, port, labset.Caller, labset.Service)
	fmt.Println("    CREATE TABLE crates (id INTEGER PRIMARY KEY, dough INTEGER);")
	fmt.Println("    INSERT INTO crates VALUES (1, 20);")
	fmt.Println("    SET poplarrouter.kind = 'stock';   -- reads by replicas from here on")
	fmt.Println("    SELECT * FROM crates;")
	<-ctx.Done()
	return nil
}
