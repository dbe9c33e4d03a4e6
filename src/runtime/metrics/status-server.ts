/** A plain-text HTTP server for metrics and health checks. */
import {createServer, type Server} from 'node:http';
import type {Disposable} from '../../base/disposable.js';

type StatusResponse = {readonly status: number; readonly text: string};

/** Responds to every request with the status and text that the handler returns for the request's path. */
export class StatusServer implements Disposable {
	readonly #server: Server;

	constructor(handler: (path: string) => StatusResponse) {
		this.#server = createServer((request, response) => {
			const {status, text} = handler(request.url ?? '');
			response.writeHead(status, {'content-type': 'text/plain; version=0.0.4'});
			response.end(text);
		});
	}

	/** Listens on `IP:port`; rejects if the address can't be bound. */
	async listen(address: string): Promise<void> {
		const [host, port] = address.split(':');
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(Number(port), host, resolve);
		});
	}

	dispose(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}
