/** Registers the profiles feature. */
import type {DisposableStore} from '../../base/disposable-store.js';
import {Contribution} from '../../platform/kernel/contribution.js';
import {contributions} from '../../platform/kernel/contributions.js';
import type {ServiceContainer} from '../../platform/kernel/service-container.js';
import {platformKeys} from '../../platform/platform-keys.js';
import {membershipKey} from '../membership/membership-key.js';
import {LogProfileBook} from './log-profile-book.js';
import {SnapshotKeeper} from './snapshot-keeper.js';
import {profileBookKey} from './profile-book-key.js';

const streamName = 'configuration';

contributions.register(new class extends Contribution {
	override readonly name = 'profiles';
	override readonly requires = ['membership'];

	override activate(services: ServiceContainer, store: DisposableStore): void {
		const book = store.add(new LogProfileBook({
			stream: services.get(platformKeys.streams).open(streamName),
			network: services.get(platformKeys.peerNetwork),
			membership: services.get(membershipKey),
			clock: services.get(platformKeys.clock),
			random: services.get(platformKeys.random),
			journal: services.get(platformKeys.journal),
		}));
		services.provide(profileBookKey, book);
		const keeper = store.add(new SnapshotKeeper({
			book,
			stream: services.get(platformKeys.streams).open(streamName),
			clock: services.get(platformKeys.clock),
			random: services.get(platformKeys.random),
			journal: services.get(platformKeys.journal),
			latestSnapshot: () => book.latestSnapshot,
		}));
		keeper.start();
		book.start();
	}
}());
