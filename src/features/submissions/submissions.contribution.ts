/** Registers the submissions feature. */
import type {DisposableStore} from '../../base/disposable-store.js';
import {Contribution} from '../../platform/kernel/contribution.js';
import {contributions} from '../../platform/kernel/contributions.js';
import type {ServiceContainer} from '../../platform/kernel/service-container.js';
import {OpenSubmissionDesk} from './open-submission-desk.js';
import {submissionDeskKey} from './submission-desk-key.js';

contributions.register(new class extends Contribution {
	override readonly name = 'submissions';
	override readonly requires = ['membership'];

	override activate(services: ServiceContainer, _store: DisposableStore): void {
		services.provide(submissionDeskKey, new OpenSubmissionDesk());
	}
}());
