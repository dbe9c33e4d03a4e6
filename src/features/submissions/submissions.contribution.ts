/** Registers the submissions feature. */
import type {DisposableStore} from '../../base/disposable-store.js';
import {Contribution} from '../../runtime/kernel/contribution.js';
import {contributions} from '../../runtime/kernel/contributions.js';
import type {ServiceContainer} from '../../runtime/kernel/service-container.js';
import {runtimeKeys} from '../../runtime/runtime-keys.js';
import {membershipKey} from '../membership/membership-key.js';
import {NoOpRegistryClient} from './no-op-registry-client.js';
import {registryClientKey} from './registry-client-key.js';
import {SubmissionRegistry} from './submission-registry.js';
import {submissionRegistryKey} from './submission-registry-key.js';
import {ZoneHistory} from './zone-history.js';

const birthsStreamName = 'births';

contributions.register(new class extends Contribution {
	override readonly name = 'submissions';
	override readonly requires = ['membership'];

	override activate(services: ServiceContainer, store: DisposableStore): void {
		const settings = services.get(runtimeKeys.settings);
		const clock = services.get(runtimeKeys.clock);
		const registry = store.add(new SubmissionRegistry({
			settings,
			network: services.get(runtimeKeys.peerNetwork),
			membership: services.get(membershipKey),
			zoneHistory: new ZoneHistory(services.get(runtimeKeys.logClient).open(birthsStreamName), clock),
			clock,
			journal: services.get(runtimeKeys.journal),
		}));
		services.provide(submissionRegistryKey, registry);
		services.provide(registryClientKey, settings.registry.enabled ? registry.client : new NoOpRegistryClient());
		registry.start();
	}
}());
