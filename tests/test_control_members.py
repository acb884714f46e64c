"""Tests of a control group of three whose members lose disks and space."""

import asyncio
import errno
import os
import pathlib
import shutil
import tempfile
import time
import unittest
from unittest import mock

from apricothinge import errors
from apricothinge import settings
from apricothinge.control import raft
from apricothinge.control import storage
from apricothinge.link import frames
from apricothinge.mesh import control
from tests import fakes
from tests import mesh_builders
from tests import mesh_fleet

_NO_SPACE = OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


class ControlGroupTest(unittest.IsolatedAsyncioTestCase):
    """Base of tests with three control instances, each at its own address."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.port = mesh_fleet.free_port()
        self.instances = [self._make_instance(index) for index in range(3)]
        self.addAsyncCleanup(self._stop_all)
        for instance in self.instances:
            await instance.start()
        self.version = 0

    async def _stop_all(self):
        for instance in self.instances:
            await instance.stop()

    def _make_instance(self, index, bootstrap=True, seeds=(1, 2, 3)):
        return control.MeshControl(
            settings.MeshControl(
                instance=f"c{index}",
                failure_domain="abcd"[index],
                link=f"127.0.0.{index + 1}:{self.port}",
                operator="127.0.0.1:1",
                admin="127.0.0.1:0",
                data=str(self.folder / str(index)),
                seeds=[f"127.0.0.{number}:1" for number in seeds],
                control_link_port=self.port,
                bootstrap=bootstrap),
            time.time_ns() // 1000)

    async def _restart(self, index, bootstrap=True):
        self.instances[index] = self._make_instance(index, bootstrap)
        await self.instances[index].start()

    def _leaders(self):
        return [
            instance for instance in self.instances
            if instance._is_confirmed_leader()
        ]

    async def _leader(self):
        await mesh_fleet.Mesh.wait_until(self._leaders)
        return self._leaders()[0]

    async def _replace(self):
        """Makes a change, at another leader if the first one fails."""
        self.version += 1
        text = b"version %d" % self.version
        document = mesh_builders.document(version=self.version)
        for _ in range(100):
            try:
                await (await self._leader()).replace(text, self.version - 1,
                                                     document, text)
                return
            except errors.ApricothingeError:
                await asyncio.sleep(0.05)
        raise AssertionError("the change was not accepted")

    async def _read(self):
        for _ in range(100):
            try:
                return await (await self._leader()).read()
            except errors.ApricothingeError:
                await asyncio.sleep(0.05)
        raise AssertionError("the desired state could not be read")


class LostDiskTest(ControlGroupTest):
    """Members that come back with an empty or damaged data folder."""

    async def _assert_votes_under_new_name(self, index):
        address = f"127.0.0.{index + 1}:{self.port}"

        def replaced():
            for leader in self._leaders():
                members = leader.group_member.raft.members
                return (len(members) == 3 and address not in members and
                        all(member.voter for member in members.values()))
            return False

        await mesh_fleet.Mesh.wait_until(replaced)

    async def test_each_disk_in_turn(self):
        """Every disk may be lost, one after another, and nothing is lost."""
        await self._replace()
        for index in range(3):
            with self.subTest(index):
                await self.instances[index].stop()
                shutil.rmtree(self.folder / str(index))
                await asyncio.sleep(0.3)
                await self._restart(index, bootstrap=False)
                await self._assert_votes_under_new_name(index)
                self.assertEqual(await self._read(),
                                 b"version %d" % self.version)
                await self._replace()

    async def test_damaged_folder(self):
        """A member that forgot its votes does not return under its name.

        The settings still say that the group starts for the first time.
        """
        await self._replace()
        await self._replace()
        await self.instances[1].stop()
        path = self.folder / "1" / "log"
        data = bytearray(path.read_bytes())
        data[20] ^= 0xff
        path.write_bytes(bytes(data))
        await self._restart(1)
        await self._assert_votes_under_new_name(1)
        self.assertTrue((self.folder / "1" / "log.damaged").exists())
        self.assertEqual(await self._read(), b"version 2")

    async def test_damaged_folder_that_cannot_be_renamed(self):
        """The data folder may be a mount point, which has a fixed name."""
        await self._replace()
        await self.instances[2].stop()
        (self.folder / "2" / "log").write_bytes(b"damaged")
        (self.folder / "2" / "vote").write_bytes(b"damaged")
        rename = pathlib.Path.rename

        def rename_unless_mounted(path, target):
            if path.parent == self.folder:
                raise OSError(errno.EBUSY, os.strerror(errno.EBUSY))
            return rename(path, target)

        with mock.patch.object(pathlib.Path, "rename", rename_unless_mounted):
            await self._restart(2)
        await self._assert_votes_under_new_name(2)
        self.assertEqual(await self._read(), b"version 1")

    async def test_crash_while_setting_damaged_files_aside(self):
        """The member never returns under its name, wherever it crashes."""
        await self._replace()
        rename = pathlib.Path.rename
        for crash_at in range(5):
            with self.subTest(crash_at):
                await self.instances[1].stop()
                (self.folder / "1" / "vote").write_bytes(b"damaged")
                count = 0

                def crash(path, target, crash_at=crash_at):
                    nonlocal count
                    count += 1
                    if count > crash_at:
                        raise fakes.SimulatedCrash
                    return rename(path, target)

                with mock.patch.object(pathlib.Path, "rename", crash):
                    try:
                        self._make_instance(1)
                    except fakes.SimulatedCrash:
                        pass
                await self._restart(1)
                await self._assert_votes_under_new_name(1)
                await self._replace()
                self.assertEqual(await self._read(),
                                 b"version %d" % self.version)

    async def test_no_seed_is_left(self):
        """An instance whose seeds were all replaced never joined again."""
        await self._replace()
        await self.instances[0].stop()
        shutil.rmtree(self.folder / "0")
        self.instances[0] = self._make_instance(0, False, seeds=(1, 8, 9))
        await self.instances[0].start()
        await self._assert_votes_under_new_name(0)
        self.assertEqual(await self._read(), b"version 1")

    async def test_message_to_previous_member(self):
        """A message to the member that had this address before is ignored."""
        await self._leader()
        instance = self.instances[0]
        term = instance.group_member.raft.term
        link = mock.Mock()
        instance.message_received(
            link,
            frames.Step("x", "", [
                raft.messages.AppendRequest(term + 5, 0, 0, [], 0, 0.0, 0.0,
                                            0.0)
            ], "another member", "127.0.0.9:1"))
        self.assertEqual(instance.group_member.raft.term, term)


class StoppedMemberTest(ControlGroupTest):
    """Members that are stopped, with and without a successor."""

    def _voters(self, instance):
        members = instance.group_member.raft.members
        return {
            member.address.host for member in members.values() if member.voter
        }

    async def _add_successor(self):
        self.instances.append(self._make_instance(3, bootstrap=False))
        await self.instances[3].start()
        await mesh_fleet.Mesh.wait_until(
            lambda: self.instances[3].state_machine.version == self.version)

    async def test_disk_lost_right_after_planned_replacement(self):
        """Control had no leader any more: the vote had left with its member."""
        for stops_leader in (True, False):
            with self.subTest(stops_leader=stops_leader):
                if not stops_leader:
                    await self._stop_all()
                    shutil.rmtree(self.folder)
                    self.instances = [
                        self._make_instance(index) for index in range(3)
                    ]
                    for instance in self.instances:
                        await instance.start()
                    self.version = 0
                await self._replace()
                await self._add_successor()
                leader = await self._leader()
                stopped = leader if stops_leader else next(
                    instance for instance in self.instances[:3]
                    if instance is not leader)
                await asyncio.wait_for(stopped.drain(), 2.5)
                await stopped.stop()
                index = next(number for number in (0, 1, 2)
                             if self.instances[number] is not stopped)
                await self.instances[index].stop()
                shutil.rmtree(self.folder / str(index))
                await self._restart(index, bootstrap=False)
                self.instances.remove(stopped)
                self.assertEqual(await self._read(), b"version 1")
                await self._replace()

    async def test_disk_lost_at_moment_of_kill(self):
        """Two of four voters were gone, and the two others had no leader."""
        await self._replace()
        await self._add_successor()
        await mesh_fleet.Mesh.wait_until(lambda: self._leaders() and len(
            self._voters(self._leaders()[0])) == 4)
        for instance in self.instances[:2]:
            await instance.stop()
        shutil.rmtree(self.folder / "1")
        await self._restart(1, bootstrap=False)
        del self.instances[0]
        self.assertEqual(await self._read(), b"version 1")
        await self._replace()

    async def test_stop_without_successor_keeps_vote(self):
        """A restart shrank the group, or waited for nobody to take the vote."""
        await self._replace()
        for index in range(3):
            with self.subTest(index):
                await asyncio.wait_for(self.instances[index].drain(), 0.5)
                await self.instances[index].stop()
                await self._restart(index, bootstrap=False)
                leader = await self._leader()
                self.assertEqual(3, len(self._voters(leader)))
                await self._replace()
        self.assertEqual(await self._read(), b"version 4")


class FullDiskTest(ControlGroupTest):
    """Disks that refuse every write for a while."""

    def _fill_disk(self, index, allowed_writes=0, partial=False):
        """Makes writes to the folder of an instance fail; returns the undo."""
        folder = str(self.folder / str(index))
        write = os.write
        remaining = allowed_writes

        def fail(handle, data):
            nonlocal remaining
            if not os.readlink(f"/proc/self/fd/{handle}").startswith(folder):
                return write(handle, data)
            if remaining:
                remaining -= 1
                return write(handle, data)
            if partial and len(data) > 1:
                # What fits is written first.
                os.ftruncate(handle, os.fstat(handle).st_size)
                write(handle, bytes(data[:len(data) // 2]))
            raise _NO_SPACE

        patch = mock.patch.object(storage.os, "write", fail)
        patch.start()
        self.addCleanup(mock.patch.stopall)
        return patch.stop

    async def _index_of_leader(self):
        return self.instances.index(await self._leader())

    async def test_leader(self):
        """The others take over; the member returns without a restart."""
        for partial in (False, True):
            with self.subTest(partial=partial):
                await self._replace()
                index = await self._index_of_leader()
                instance = self.instances[index]
                empty_disk = self._fill_disk(index, partial=partial)
                await self._replace()
                self.assertTrue(instance.group_member.suspended)
                self.assertNotEqual(await self._index_of_leader(), index)
                with self.assertRaises(errors.ApricothingeError) as caught:
                    await instance.read()
                self.assertIs(caught.exception.kind, errors.Kind.NOT_LEADER)
                await mesh_fleet.Mesh.wait_until(instance.leader)
                self.assertNotEqual(instance.leader(), str(instance.link))
                self.assertEqual(await self._read(),
                                 b"version %d" % self.version)
                empty_disk()
                await mesh_fleet.Mesh.wait_until(
                    lambda instance=instance: instance.state_machine.version ==
                    self.version)
                self.assertFalse(instance.failed.done())
                await self._replace()

    async def test_follower(self):
        """The group goes on, and the follower catches up later."""
        await self._replace()
        index = (await self._index_of_leader() + 1) % 3
        instance = self.instances[index]
        empty_disk = self._fill_disk(index)
        await self._replace()
        await self._replace()
        self.assertTrue(instance.group_member.suspended)
        empty_disk()
        await mesh_fleet.Mesh.wait_until(
            lambda: instance.state_machine.version == self.version)

    async def test_all_disks(self):
        """Nothing is acknowledged, and all that was is still there later."""
        await self._replace()
        leader = await self._leader()
        undo = [self._fill_disk(index) for index in range(3)]
        with self.assertRaises(errors.ApricothingeError):
            await leader.replace(b"x", 1, mesh_builders.document(version=9),
                                 b"x")
        for empty_disk in reversed(undo):
            empty_disk()
        self.assertEqual(await self._read(), b"version 1")
        await self._replace()
        self.assertEqual(await self._read(), b"version 2")

    async def test_every_write(self):
        """A disk may become full at any write; the log stays readable."""
        for allowed_writes in range(1, 9):
            with self.subTest(allowed_writes):
                index = allowed_writes % 3
                instance = self.instances[index]
                empty_disk = self._fill_disk(index, allowed_writes, True)
                for _ in range(4):
                    await self._replace()
                empty_disk()
                await mesh_fleet.Mesh.wait_until(
                    lambda instance=instance: instance.state_machine.version ==
                    self.version)
                self.assertFalse(instance.failed.done())
                await instance.stop()
                await self._restart(index)
                await mesh_fleet.Mesh.wait_until(
                    lambda index=index: self.instances[
                        index].state_machine.version == self.version)
