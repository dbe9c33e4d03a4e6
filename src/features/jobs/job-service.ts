/** Service that runs jobs. */
import {createHash} from 'node:crypto';
import {CancellationSource} from '../../base/cancellation-source.js';
import type {CancellationToken} from '../../base/cancellation-token.js';
import type {JobAnswer} from '../../base/job-answer.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Verdict} from '../../base/verdict.js';
import type {ProfileService} from '../profiles/profile-service.js';
import type {ProfileRevision} from '../profiles/profile-revision.js';
import type {RegistryClient} from '../submissions/registry-client.js';
import type {Job} from './job.js';
import type {JobDependencies} from './job-dependencies.js';
import type {JobRequest} from './job-request.js';
import {RunningJob} from './running-job.js';

/** Length of 128 bits in base64url. */
const fingerprintCharacters = 22;

type Refusal = Extract<Verdict<never>, {kind: 'notRun'}>;

/** Validates, claims and runs the jobs that are submitted to this entry. */
export class JobService {
	readonly #running = new Map<SubmissionId, CancellationSource>();
	#isDraining = false;
	#inFlight = 0;
	#onIdle: (() => void) | undefined;

	constructor(
		private readonly profiles: ProfileService,
		private readonly submissions: RegistryClient,
		private readonly dependencies: JobDependencies,
	) {}

	/** Number of jobs without a verdict. */
	get inFlight(): number {
		return this.#inFlight;
	}

	/** Runs a job, or returns the verdict of an earlier submission with the same id; never rejects. */
	async submit(request: JobRequest, token: CancellationToken): Promise<Verdict<JobAnswer>> {
		const startedAt = this.dependencies.clock.now();
		this.#inFlight += 1;
		const verdict = await this.#submit(request, startedAt, token);
		this.#inFlight -= 1;
		this.#report(request, verdict, this.dependencies.clock.now() - startedAt);
		if (this.#inFlight === 0) {
			this.#onIdle?.();
		}

		return verdict;
	}

	/** Cancels a job; returns whether it was running at this entry. */
	cancel(id: SubmissionId): boolean {
		const source = this.#running.get(id);
		source?.cancel();
		return source !== undefined;
	}

	/** Stops accepting jobs, and resolves when none is in flight. */
	async drain(): Promise<void> {
		this.#isDraining = true;
		if (this.#inFlight === 0) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#onIdle = resolve;
		});
	}

	async #submit(request: JobRequest, startedAt: number, token: CancellationToken): Promise<Verdict<JobAnswer>> {
		if (this.#isDraining) {
			return {
				kind: 'notRun', cause: 'draining', detail: 'this entry is shutting down', retryAfterMilliseconds: 100,
			};
		}

		const revision = this.profiles.profileNamed(request.profile);
		const refusal = this.#refusalOf(request, revision);
		if (refusal !== undefined || revision === undefined) {
			return refusal ?? {kind: 'notRun', cause: 'unknownProfile', detail: `no profile is named ${request.profile}`};
		}

		const deadline = request.deadlineMilliseconds ?? revision.profile.deadlineMilliseconds;
		const job: Job = {
			id: request.id, revision, tasks: request.tasks, deadlineAt: startedAt + deadline,
		};
		return this.#claimAndRun(job, fingerprintOf(request), token);
	}

	#refusalOf(request: JobRequest, revision: ProfileRevision | undefined): Refusal | undefined {
		if (!this.profiles.isLoaded) {
			return {
				kind: 'notRun', cause: 'notReady', detail: 'this entry knows no configuration yet', retryAfterMilliseconds: 1000,
			};
		}

		if (revision?.state === 'retired') {
			return {kind: 'notRun', cause: 'retiredProfile', detail: `profile ${request.profile} was retired by revision ${revision.revision}`};
		}

		const longest = revision?.profile.deadlineMilliseconds ?? Number.POSITIVE_INFINITY;
		if ((request.deadlineMilliseconds ?? 0) > longest) {
			return {kind: 'notRun', cause: 'invalidRequest', detail: `deadlineMilliseconds: the profile allows ${longest} at most`};
		}

		return undefined;
	}

	async #claimAndRun(job: Job, fingerprint: string, token: CancellationToken): Promise<Verdict<JobAnswer>> {
		const claim = await this.submissions.claim({id: job.id, fingerprint, deadlineAt: job.deadlineAt}, token);
		if (claim.kind === 'concluded') {
			return claim.verdict;
		}

		const source = new CancellationSource();
		const registration = token.onDidRequestCancellation(() => {
			source.cancel();
		});
		this.#running.set(job.id, source);
		const verdict = await new RunningJob(job, this.dependencies).run(source.token);
		this.#running.delete(job.id);
		registration.dispose();
		this.submissions.settle(job.id, claim.nonce, verdict);
		return verdict;
	}

	#report(request: JobRequest, verdict: Verdict<JobAnswer>, elapsed: number): void {
		const cause = verdict.kind === 'answered' ? verdict.answer.kind : verdict.cause;
		this.dependencies.journal.record('jobConcluded', {
			job: request.id, profile: request.profile, tasks: request.tasks.length, verdict: verdict.kind, cause, milliseconds: Math.round(elapsed),
		});
		this.dependencies.metrics.timing('job', elapsed, {verdict: verdict.kind, profile: request.profile});
	}
}

function fingerprintOf(request: JobRequest): string {
	const text = JSON.stringify([request.profile, request.tasks]);
	return createHash('sha256').update(text).digest('base64url').slice(0, fingerprintCharacters);
}
