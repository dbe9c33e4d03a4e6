/** Shared entry point of the stand-in programs. */
import process from 'node:process';
import {serve} from '@hono/node-server';
import type {Hono} from 'hono';

/** Serves until SIGTERM or SIGINT, and prints `{"listening":{"httpPort":N}}` once it listens. */
export function runStandIn(routes: Hono, address: string, port: number): void {
	const server = serve({fetch: routes.fetch, hostname: address, port}, info => {
		process.stdout.write(`${JSON.stringify({listening: {httpPort: info.port}})}\n`);
	});
	const stop = () => {
		server.close();
		process.exit(0);
	};

	process.once('SIGTERM', stop);
	process.once('SIGINT', stop);
}
