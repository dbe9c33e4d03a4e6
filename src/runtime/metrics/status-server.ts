/** Short texts over HTTP, for those who watch a process. */
import {createServer, type Server} from 'node:http';
import type {Disposable} from '../../base/disposable.js';

type Answer = {readonly status: number; readonly text: string};

/** Answers each request with what the function returns for its path. */
export class StatusServer implements Disposable {
	readonly #server: Server;

	constructor(answer: (path: string) => Answer) {
		this.#server = createServer((request, response) => {
			const {status, text} = answer(request.url ?? '');
			response.writeHead(status, {'content-type': 'text/plain; version=0.0.4'});
			response.end(text);
		});
	}

	/** `IP:port`. */
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
