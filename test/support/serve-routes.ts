/** In-process HTTP servers for tests. */
import {after} from 'node:test';
import {serve, type ServerType} from '@hono/node-server';
import type {Hono} from 'hono';

/** Serves routes on loopback until the tests of the file end; returns `IP:port`. */
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
