/** A stand-in for the platform's load balancer. */
import {Hono} from 'hono';
import {request} from 'undici';
import {z} from 'zod';

const periodMilliseconds = 500;
const probeTimeoutMilliseconds = 500;

const listSchema = z.object({
	instances: z.array(z.object({
		id: z.string(), kind: z.string(), zone: z.string(), address: z.string(), state: z.string(),
	})),
});
const faultSchema = z.strictObject({
	/** Sends every request to two entries, like a balancer that retries too early. */
	isRepeating: z.boolean().optional(),
});

/** Distributes requests round-robin over ready entries; retries only if the connection was refused. */
export class LoadBalancer {
	#ready: readonly string[] = [];
	#next = 0;
	#isRepeating = false;
	readonly #timer;

	constructor(private readonly instancesUrl: string) {
		this.#timer = setInterval(() => {
			void this.#probe();
		}, periodMilliseconds);
	}

	routes(): Hono {
		const routes = new Hono();
		routes.post('/v1/jobs', async context => this.#forward(context.req.raw));
		routes.get('/balancer', context => context.json({ready: this.#ready}));
		routes.post('/faults', async context => {
			this.#isRepeating = faultSchema.parse(await context.req.json()).isRepeating ?? this.#isRepeating;
			return context.json({status: 'done'});
		});
		return routes;
	}

	dispose(): void {
		clearInterval(this.#timer);
	}

	async #probe(): Promise<void> {
		try {
			const response = await request(`${this.instancesUrl}/instances`);
			const {instances} = listSchema.parse(await response.body.json());
			const entries = instances.filter(instance => instance.kind === 'entry' && instance.state === 'live');
			const checked = await Promise.all(entries.map(async entry => await isReady(entry.address) ? [entry.address] : []));
			this.#ready = checked.flat();
		} catch {
			// The instance list is unavailable: keep using the last known ready entries.
		}
	}

	async #forward(incoming: Request): Promise<Response> {
		const body = await incoming.text();
		const headers = Object.fromEntries([...incoming.headers].filter(([name]) => name === 'idempotency-key' || name === 'content-type'));
		if (this.#isRepeating) {
			void this.#send(headers, body);
		}

		return this.#send(headers, body);
	}

	async #send(headers: Record<string, string>, body: string): Promise<Response> {
		for (const address of this.#candidates()) {
			try {
				const response = await request(`http://${address}/v1/jobs`, {
					method: 'POST', headers, body, headersTimeout: 0, bodyTimeout: 0,
				});
				const text = await response.body.text();
				return new Response(text, {status: response.statusCode, headers: forwardedHeaders(response.headers)});
			} catch (error) {
				if ((error as NodeJS.ErrnoException).code !== 'ECONNREFUSED') {
					return Response.json({detail: String(error)}, {status: 502});
				}
			}
		}

		return Response.json({detail: 'no entry is ready'}, {status: 503});
	}

	#candidates(): readonly string[] {
		this.#next += 1;
		const start = this.#next % Math.max(1, this.#ready.length);
		return [...this.#ready.slice(start), ...this.#ready.slice(0, start)];
	}
}

async function isReady(address: string): Promise<boolean> {
	try {
		const response = await request(`http://${address}/ready`, {headersTimeout: probeTimeoutMilliseconds, bodyTimeout: probeTimeoutMilliseconds});
		await response.body.dump();
		return response.statusCode === 200;
	} catch {
		return false;
	}
}

function forwardedHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): Headers {
	const forwarded = new Headers();
	for (const name of ['content-type', 'retry-after', 'savorylock-verdict']) {
		const value = headers[name];
		if (typeof value === 'string') {
			forwarded.set(name, value);
		}
	}

	return forwarded;
}
