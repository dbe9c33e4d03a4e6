/** Stand-ins within a test's process. */
import {after} from 'node:test';
import {serve, type ServerType} from '@hono/node-server';
import type {Hono} from 'hono';

/** Serves on loopback until the test file ends; returns `IP:port`. */
export async function serveRoutes(routes: Hono): Promise<string> {
	return new Promise(resolve => {
		const server: ServerType = serve({fetch: routes.fetch, hostname: '127.0.0.1', port: 0}, ({port}) => {
			resolve(`127.0.0.1:${port}`);
		});
		after(() => {
			server.close();
			if ('closeAllConnections' in server) {
				server.closeAllConnections();
			}
		});
	});
}
