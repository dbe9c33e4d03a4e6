/** Service keys of the runtime layer. */
import type {Clock} from '../base/clock.js';
import type {Random} from '../base/random.js';
import type {InstanceList} from './instances/instance-list.js';
import type {Journal} from './journal/journal.js';
import {ServiceKey} from './kernel/service-key.js';
import type {Metrics} from './metrics/metrics.js';
import type {PeerNetwork} from './peers/peer-network.js';
import type {Settings} from './settings/settings.js';
import type {LogClient} from './stream/log-client.js';
import type {TargetDriver} from './targets/target-driver.js';

/** Provided by the wiring module before any contribution is activated. */
export const runtimeKeys = {
	settings: new ServiceKey<Settings>('settings'),
	clock: new ServiceKey<Clock>('clock'),
	random: new ServiceKey<Random>('random'),
	journal: new ServiceKey<Journal>('journal'),
	metrics: new ServiceKey<Metrics>('metrics'),
	instanceList: new ServiceKey<InstanceList>('instance-list'),
	peerNetwork: new ServiceKey<PeerNetwork>('peer-network'),
	logClient: new ServiceKey<LogClient>('log-client'),
	targetDriver: new ServiceKey<TargetDriver>('target-driver'),
};
