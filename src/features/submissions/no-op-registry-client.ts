/** Registry client without a registry. */
import type {CancellationToken} from '../../base/cancellation-token.js';
import {Emitter} from '../../base/emitter.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Claim} from './claim.js';
import type {Submission} from './submission.js';
import {RegistryClient} from './registry-client.js';

/**
 * Grants every claim, so that a job submitted twice runs twice. Only for benchmarks that measure the overhead of the
 * registry.
 */
export class NoOpRegistryClient extends RegistryClient {
	override readonly onDidRequestCancel = new Emitter<SubmissionId>().event;

	override async claim(_submission: Submission, _token: CancellationToken): Promise<Claim> {
		return {kind: 'granted', nonce: ''};
	}

	override settle(): void {
		// Nothing was recorded.
	}

	override cancel(): void {
		// Nothing was recorded.
	}
}
