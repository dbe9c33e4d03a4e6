/** Registers the profiles feature. */
import type {DisposableStore} from '../../base/disposable-store.js';
import {Contribution} from '../../runtime/kernel/contribution.js';
import {contributions} from '../../runtime/kernel/contributions.js';
import type {ServiceContainer} from '../../runtime/kernel/service-container.js';
import {runtimeKeys} from '../../runtime/runtime-keys.js';
import {membershipKey} from '../membership/membership-key.js';
import {ReplicatedProfileService} from './replicated-profile-service.js';
import {SnapshotWriter} from './snapshot-writer.js';
import {profileServiceKey} from './profile-service-key.js';

const streamName = 'configuration';

contributions.register(new class extends Contribution {
	override readonly name = 'profiles';
	override readonly requires = ['membership'];

	override activate(services: ServiceContainer, store: DisposableStore): void {
		const profileService = store.add(new ReplicatedProfileService({
			stream: services.get(runtimeKeys.logClient).open(streamName),
			network: services.get(runtimeKeys.peerNetwork),
			membership: services.get(membershipKey),
			clock: services.get(runtimeKeys.clock),
			random: services.get(runtimeKeys.random),
			journal: services.get(runtimeKeys.journal),
		}));
		services.provide(profileServiceKey, profileService);
		const snapshotWriter = store.add(new SnapshotWriter({
			profileService,
			stream: services.get(runtimeKeys.logClient).open(streamName),
			clock: services.get(runtimeKeys.clock),
			random: services.get(runtimeKeys.random),
			journal: services.get(runtimeKeys.journal),
			latestSnapshot: () => profileService.latestSnapshot,
		}));
		snapshotWriter.start();
		profileService.start();
	}
}());
