/** HTTP API of an entry. */
import {serve, type ServerType} from '@hono/node-server';
import {Hono} from 'hono';
import {bodyLimit} from 'hono/body-limit';
import {v7 as createId} from 'uuid';
import type {AvailabilityZone} from '../../base/availability-zone.js';
import {CancellationSource} from '../../base/cancellation-source.js';
import type {Disposable} from '../../base/disposable.js';
import type {JobAnswer} from '../../base/job-answer.js';
import {parseJson} from '../../base/parse-json.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Verdict} from '../../base/verdict.js';
import type {JobService} from '../jobs/job-service.js';
import type {RegistryClient} from '../submissions/registry-client.js';
import {jobBodySchema} from './job-body-schema.js';
import type {Readiness} from './readiness.js';
import {responseOf} from './response-of.js';
import type {StatusReport} from './status-report.js';
import {submissionIdOf} from './submission-id-of.js';

/** Listening address and request limits. */
type ServerOptions = {
	readonly zone: AvailabilityZone;
	readonly address: string;
	readonly port: number;
	readonly bodyBytes: number;
	readonly maximumDeadlineMilliseconds: number;
};
/** Sources of the health and status endpoints. */
type ServerState = {readonly readiness: Readiness; readonly status: StatusReport};
type Refusal = Extract<Verdict<JobAnswer>, {kind: 'notRun'}>;

/** Owns the HTTP server; the API is described in docs/INTERFACES.md. */
export class ApiServer implements Disposable {
	#server: ServerType | undefined;

	constructor(
		private readonly options: ServerOptions,
		private readonly jobs: JobService,
		private readonly submissions: RegistryClient,
		private readonly state: ServerState,
	) {}

	/** Starts listening and returns the port; rejects if the address is unavailable. */
	async listen(): Promise<number> {
		const {address, port} = this.options;
		return new Promise((resolve, reject) => {
			const server = serve({fetch: this.#createRoutes().fetch, hostname: address, port}, info => {
				resolve(info.port);
			});
			server.once('error', reject);
			this.#server = server;
		});
	}

	/** Stops accepting connections, closes idle ones, and resolves when pending requests are done. */
	async close(): Promise<void> {
		await new Promise<void>(resolve => {
			if (this.#server === undefined) {
				resolve();
				return;
			}

			this.#server.close(() => {
				resolve();
			});
			if ('closeIdleConnections' in this.#server) {
				this.#server.closeIdleConnections();
			}
		});
	}

	dispose(): void {
		this.#server?.close();
		if (this.#server !== undefined && 'closeAllConnections' in this.#server) {
			this.#server.closeAllConnections();
		}
	}

	#createRoutes(): Hono {
		const routes = new Hono();
		const maxSize = this.options.bodyBytes;
		const rejectOversized = () => responseOf(undefined, refusal('bodyTooLarge', `the body may have ${maxSize} bytes`));
		routes.post('/v1/jobs', bodyLimit({maxSize, onError: rejectOversized}), async context => this.#submit(context.req.raw));
		routes.delete('/v1/jobs/:id', context => this.#cancel(context.req.param('id')));
		routes.get('/health', context => context.json({status: 'alive'}));
		routes.get('/ready', context => {
			const {missing} = this.state.readiness;
			return missing.length === 0 ? context.json({status: 'ready'}) : context.json({status: 'not ready', missing}, 503);
		});
		routes.get('/v1/status', context => context.json(this.state.status.read()));
		routes.notFound(() => responseOf(undefined, refusal('invalidRequest', 'no such resource')));
		routes.onError(error => responseOf(undefined, refusal('invalidRequest', `the request can't be read: ${error.message}`)));
		return routes;
	}

	async #submit(request: Request): Promise<Response> {
		const header = request.headers.get('idempotency-key');
		// A generated id has this zone as its home, so that the job can run while the zone is partitioned.
		const id = header === null ? `${this.options.zone}~${createId()}` as SubmissionId : submissionIdOf(header);
		if (id === undefined) {
			return responseOf(undefined, refusal('invalidRequest', 'Idempotency-Key: letters, digits, ".", "_", "-", 128 at most; a zone\'s name and "~" may stand before'));
		}

		const body = await this.#parseBody(request);
		if (body.kind === 'notRun') {
			return responseOf(id, body);
		}

		const {token} = new CancellationSource();
		return responseOf(id, await this.jobs.submit({id, ...body.job}, token));
	}

	async #parseBody(request: Request): Promise<Refusal | {readonly kind: 'job'; readonly job: ReturnType<typeof jobBodySchema.parse>}> {
		let raw: unknown;
		try {
			raw = parseJson(new Uint8Array(await request.arrayBuffer()));
		} catch {
			return refusal('invalidRequest', 'the body isn\'t JSON in UTF-8');
		}

		const checked = jobBodySchema.safeParse(raw);
		if (!checked.success) {
			const [issue] = checked.error.issues;
			return refusal('invalidRequest', `${['body', ...issue?.path ?? []].join('.')}: ${issue?.message}`);
		}

		if ((checked.data.deadlineMilliseconds ?? 0) > this.options.maximumDeadlineMilliseconds) {
			return refusal('invalidRequest', `deadlineMilliseconds: ${this.options.maximumDeadlineMilliseconds} at most`);
		}

		return {kind: 'job', job: checked.data};
	}

	#cancel(text: string): Response {
		const id = submissionIdOf(text);
		if (id === undefined) {
			return responseOf(undefined, refusal('invalidRequest', 'that isn\'t the id of a job'));
		}

		if (!this.jobs.cancel(id)) {
			this.submissions.cancel(id);
		}

		return Response.json({id, status: 'cancellation requested'}, {status: 202});
	}
}

function refusal(cause: 'invalidRequest' | 'bodyTooLarge', detail: string): Refusal {
	return {kind: 'notRun', cause, detail};
}
